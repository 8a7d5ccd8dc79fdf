// The ownership state that a node shows on its status page.
#ifndef ORIOLEDOOR_OWNERSHIP_OWNERSHIP_STATUS_H
#define ORIOLEDOOR_OWNERSHIP_OWNERSHIP_STATUS_H

#include <cstddef>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/message.h"

namespace orioledoor::ownership {

struct GuardianStatus {
  MemberId Member;
  std::uint64_t Term = 0;
  // Remaining time of the permission granted by this guardian; 0 if it has
  // ended.
  Duration Remaining{0};
  // Whether grants of this guardian extend the member's permission; see section
  // 4.2 of docs/design.md on added guardians.
  bool IsEffective = false;
};

struct OwnershipStatus {
  // 0 while the node is not a member.
  MemberId Id;
  bool Joining = false;
  bool Leaving = false;
  bool Coordinating = false;
  bool WatchingStore = false;
  Versions HeldVersions;
  MemberId Coordinator;
  // Remaining time of the node's permission; 0 if it holds none.
  Duration PermissionRemaining{0};
  std::size_t SlicesOwned = 0;
  std::vector<GuardianStatus> Guardians;
  // Members for which this node acts as a guardian.
  std::vector<MemberId> Guarded;
  Facts Known;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_OWNERSHIP_STATUS_H
