// The holder's side of permissions: renews this member's permission with its
// recorded guardians. See docs/design.md, section 4.2.
//
//   PermissionHolder Permission(Node);
//   Permission.tick(Now, Output);            // sends renewals
//   if (Permission.holds(Now)) serve();
#ifndef ORIOLEDOOR_OWNERSHIP_PERMISSION_HOLDER_H
#define ORIOLEDOOR_OWNERSHIP_PERMISSION_HOLDER_H

#include <cstdint>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/ownership/effect.h"

namespace orioledoor::ownership {

struct NodeState;

// Time from the sending of a renewal for which its grant is valid.
inline constexpr Duration PermissionLength = std::chrono::milliseconds(800);
inline constexpr Duration RenewalInterval = std::chrono::milliseconds(200);

// Not thread-safe. Every call is linear in the number of guardians (2).
class PermissionHolder {
public:
  // The state of the permission through one guardian.
  struct GuardianLink {
    Guardian Recorded;
    // End of the permission through this guardian, counted or not.
    Instant End;
    Instant NextRenewal;
    // The highest Grant.Sequence received.
    std::uint64_t LastGrant = 0;
    // The newest assignment under which it sent a grant.
    std::uint64_t GrantedUnder = 0;
  };

  explicit PermissionHolder(NodeState &Node);

  // The assignment changed or this node became a member.
  void assignmentChanged(Instant Now);
  // Gives up the permission: this node is no longer a member.
  void reset();
  // Lets the permission run out.
  void stopRenewing() { this->Renewing = false; }

  void tick(Instant Now, Effects &Output);
  void handle(Instant Now, const Grant &Received);

  // The end of the permission that lasts longest.
  Instant permissionEnd() const { return this->PermissionEnd; }
  bool holds(Instant Now) const { return Now < this->PermissionEnd; }

  const std::vector<GuardianLink> &guardianLinks() const { return this->Links; }
  // Whether grants of this guardian count: it was named at the admission, or
  // every guardian of an older term granted under an assignment that names it.
  // A guardian that the record dropped without such a grant may have derived
  // that this node is deposed, until another one shows the contrary.
  bool isEffective(const GuardianLink &Link) const;

private:
  // A guardian that the record no longer names.
  struct FormerGuardian {
    std::uint64_t Term = 0;
    std::uint64_t GrantedUnder = 0;
    // The assignment version without it.
    std::uint64_t DroppedIn = 0;
  };

  void addFormerGuardian(const GuardianLink &Dropped);
  void updateEnd();

  NodeState &Node;
  std::vector<GuardianLink> Links;
  std::vector<FormerGuardian> FormerGuardians;
  Instant PermissionEnd;
  // Permission of a member without recorded guardians; renewed by ticks.
  Instant SelfPermissionEnd;
  // Never restarts, so that late grants to an earlier incarnation of this
  // process are told apart.
  std::uint64_t Sequence;
  std::uint64_t FirstSequence;
  bool Renewing = true;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_PERMISSION_HOLDER_H
