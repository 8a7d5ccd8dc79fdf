// The guardian's side of the permission protocol: grants, releases, consents,
// and the conclusion that a member is deposed. See docs/design.md, section 4.2.
//
//   GuardianRole Guardianship(Node);
//   Guardianship.handle(Now, From, Renewal, HoldsPermission, Output);
//   DerivedFacts Derived = Guardianship.tick(Now, HoldsPermission, Output);
#ifndef ORIOLEDOOR_OWNERSHIP_GUARDIAN_ROLE_H
#define ORIOLEDOOR_OWNERSHIP_GUARDIAN_ROLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/ownership/effect.h"

namespace orioledoor::ownership {

struct NodeState;

// A guardian releases a member that sends no renewal for this long, or whose
// renewals state for this long that it holds no permission.
inline constexpr Duration ReleaseAfter = std::chrono::milliseconds(500);

// Facts derived by this guardian, to be announced to the affected members.
struct DerivedFacts {
  std::vector<Release> Releases;
  std::vector<MemberId> Deposed;
};

// Not thread-safe. A tick is linear in the number of guarded members (about 2).
class GuardianRole {
public:
  explicit GuardianRole(NodeState &Node);

  // Must be called when the assignment changed: updates the guarded members.
  void updateFromAssignment(Instant Now);
  // Stops guarding all members: this node is no longer a member.
  void reset();

  // HoldsPermission: whether this node itself holds a permission at Now.
  DerivedFacts tick(Instant Now, bool HoldsPermission, Effects &Output);
  void handle(Instant Now, const std::string &From, const Renew &Received,
              bool HoldsPermission, Effects &Output);
  void handle(const std::string &From, const ConsentRequest &Received);

  // The members guarded under the current assignment.
  std::vector<MemberId> members() const;

private:
  struct GuardedMember {
    std::uint64_t Term = 0;
    Instant LastRenewal;
    // Time since which the member has received grants and yet reports that it
    // holds no permission.
    std::optional<Instant> UnpermittedSince;
    // All grants of this node have expired by this time.
    Instant GrantsEnd;
    // The member may still grant permissions to itself, so it must not be
    // released before a renewal shows that it knows its guardian.
    bool AwaitsFirstRenewal = false;
    bool Released = false;
    bool ReleaseAnnounced = false;
  };
  struct PendingConsent {
    std::string ReplyTo;
    std::uint64_t Version = 0;
    // All grants that this node sent before the consent have expired by this
    // time.
    Instant GrantsEnd;
    bool Answered = false;
  };

  bool hasConsented(MemberId Member) const;
  bool isReleasedByOther(MemberId Member) const;
  void announceRelease(MemberId Member, GuardedMember &Guarded, Instant Now,
                       DerivedFacts &Derived, Effects &Output);

  NodeState &Node;
  std::map<MemberId, GuardedMember> GuardedMembers;
  // For each member with a consent: below the given version, this node neither
  // grants permissions to it nor concludes that it is deposed.
  std::map<MemberId, PendingConsent> Consents;
  Instant LastTick;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_GUARDIAN_ROLE_H
