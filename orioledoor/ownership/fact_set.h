// The facts known about members: deposed, left and released. A fact that is
// true stays true. See docs/design.md, section 4.2.
//
//   FactSet Known;
//   if (Known.addDeposed(MemberId{7}, Now))
//     gossip();
#ifndef ORIOLEDOOR_OWNERSHIP_FACT_SET_H
#define ORIOLEDOOR_OWNERSHIP_FACT_SET_H

#include <map>
#include <optional>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/message.h"

namespace orioledoor::ownership {

struct Assignment;

// Time after which all grants that a guardian issued before the end of its own
// permission have expired: 800 ms plus 1% for clock drift.
inline constexpr Duration GrantExpiryDelay = std::chrono::milliseconds(808);

// Not thread-safe. Lookups of deposed members are logarithmic, those of
// releases linear.
class FactSet {
public:
  // These functions return true if the fact is new.
  bool addDeposed(MemberId Id, Instant Now);
  // A member that left is also deposed.
  bool addLeft(MemberId Id, Instant Now);
  bool addRelease(const Release &Fact);

  bool isDeposed(MemberId Id) const { return this->Deposed.contains(Id); }
  std::optional<Instant> deposedSince(MemberId Id) const;

  // Returns the release of Member by the guardian under Term, or null if
  // unknown.
  const Release *findRelease(MemberId Member, MemberId GuardianId,
                             std::uint64_t Term) const;

  // Whether rule (a) or (b) of the design holds for every recorded guardian of
  // Id: it has released Id or has been deposed for GrantExpiryDelay, and no
  // release was made under a newer version than Current's.
  bool impliesDeposed(MemberId Id, const Assignment &Current,
                      Instant Now) const;

  // Returns all facts, for gossip. Linear in the number of facts.
  Facts snapshot() const;

  // Increases with each new fact.
  std::uint64_t changeCount() const { return this->ChangeCount; }

  // Removes facts about members that Current no longer lists.
  void prune(const Assignment &Current);

private:
  struct DeposedEntry {
    Instant Since;
    bool Left = false;
  };
  std::map<MemberId, DeposedEntry> Deposed;
  // Invariant: at most one release for each member, guardian and term.
  std::vector<Release> Releases;
  std::uint64_t ChangeCount = 0;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_FACT_SET_H
