// The holder's side of the permission protocol: renews this member's permission
// with its recorded guardians. See docs/design.md, section 4.2.
//
//   PermissionHolder Permission(Node);
//   Permission.tick(Now, Output); // sends renewals
//   if (Permission.holds(Now))
//     serve();
#ifndef ORIOLEDOOR_OWNERSHIP_PERMISSION_HOLDER_H
#define ORIOLEDOOR_OWNERSHIP_PERMISSION_HOLDER_H

#include <cstdint>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/ownership/effect.h"

namespace orioledoor::ownership {

struct NodeState;

// Validity of a grant, counted from the time at which the renewal was sent.
inline constexpr Duration PermissionLength = std::chrono::milliseconds(800);
inline constexpr Duration RenewalInterval = std::chrono::milliseconds(200);

// Not thread-safe. Every call is linear in the number of guardians (2).
class PermissionHolder {
public:
  // The state of the permission granted by one guardian.
  struct GuardianLink {
    Guardian Recorded;
    // End of the permission granted by this guardian, whether or not its grants
    // are effective.
    Instant End;
    Instant NextRenewal;
    // The highest Grant.Sequence received.
    std::uint64_t LastGrant = 0;
    // The newest assignment version under which the guardian sent a grant.
    std::uint64_t GrantedUnder = 0;
  };

  explicit PermissionHolder(NodeState &Node);

  // Must be called when the assignment changed or this node became a member.
  void updateFromAssignment(Instant Now);
  // Drops the permission: this node is no longer a member.
  void reset();
  // Stops sending renewals, so that the permission expires.
  void stopRenewing() { this->Renewing = false; }

  void tick(Instant Now, Effects &Output);
  void handle(Instant Now, const Grant &Received);

  // The latest end among the effective permissions.
  Instant permissionEnd() const { return this->PermissionEnd; }
  bool holds(Instant Now) const { return Now < this->PermissionEnd; }

  const std::vector<GuardianLink> &guardianLinks() const { return this->Links; }
  // Whether grants of this guardian are effective: it was named at the member's
  // admission, or every guardian with an older term has granted under an
  // assignment that names it. A guardian that was removed from the assignment
  // without such a grant may have concluded that this node is deposed, until a
  // grant of another guardian rules that out.
  bool isEffective(const GuardianLink &Link) const;

private:
  // A guardian that the assignment no longer names.
  struct FormerGuardian {
    std::uint64_t Term = 0;
    std::uint64_t GrantedUnder = 0;
    // The assignment version that removed the guardian.
    std::uint64_t DroppedIn = 0;
  };

  void addFormerGuardian(const GuardianLink &Dropped);
  void updateEnd();

  NodeState &Node;
  std::vector<GuardianLink> Links;
  std::vector<FormerGuardian> FormerGuardians;
  Instant PermissionEnd;
  // End of the permission that a member without recorded guardians grants to
  // itself; renewed by each tick.
  Instant SelfPermissionEnd;
  // Not reset between memberships, so that late grants to an earlier
  // incarnation of this process are detected.
  std::uint64_t Sequence;
  std::uint64_t FirstSequence;
  bool Renewing = true;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_PERMISSION_HOLDER_H
