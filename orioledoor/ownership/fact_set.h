// Facts about members that never become false again: deposed, left and
// released. See docs/design.md, section 4.2.
//
//   FactSet Known;
//   if (Known.addDeposed(MemberId{7}, Now)) gossip();
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

// Time until every grant has ended that a guardian issued under the last of
// its own permission: 800 ms and 1% for clock drift.
inline constexpr Duration GrantExpiryDelay = std::chrono::milliseconds(808);

// Not thread-safe. Look-ups are logarithmic.
class FactSet {
public:
  // Each returns true if the fact is new.
  bool addDeposed(MemberId Id, Instant Now);
  // Left implies deposed.
  bool addLeft(MemberId Id, Instant Now);
  bool addRelease(const Release &Fact);

  bool isDeposed(MemberId Id) const { return this->Deposed.contains(Id); }
  std::optional<Instant> deposedSince(MemberId Id) const;

  // The release of Member by By under Term, if known.
  const Release *findRelease(MemberId Member, MemberId By,
                             std::uint64_t Term) const;

  // Whether rule (a) or (b) of the design holds for all recorded guardians of
  // Id: each has released it or has been deposed for GrantExpiryDelay, and no
  // release was made under a newer version than Current's.
  bool impliesDeposed(MemberId Id, const Assignment &Current,
                      Instant Now) const;

  // All facts, for gossip. Linear.
  Facts snapshot() const;

  // Grows with each new fact.
  std::uint64_t changeCount() const { return this->ChangeCount; }

  // Forgets facts about members that Current no longer lists.
  void prune(const Assignment &Current);

private:
  struct DeposedEntry {
    Instant Since;
    bool Left = false;
  };
  std::map<MemberId, DeposedEntry> Deposed;
  // Invariant: at most one release a member, guardian and term.
  std::vector<Release> Releases;
  std::uint64_t ChangeCount = 0;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_FACT_SET_H
