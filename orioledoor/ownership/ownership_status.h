// What the status page of a node shows of ownership.
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
  // Of the permission through it; 0 if it has ended.
  Duration Left{0};
  // Whether its grants count; see section 4.2 on added guardians.
  bool Counts = false;
};

struct OwnershipStatus {
  // 0 while the node is not a member.
  MemberId Id;
  bool Joining = false;
  bool Leaving = false;
  bool Coordinating = false;
  bool WatchingStore = false;
  Versions Held;
  MemberId Coordinator;
  // 0 if the node holds no permission.
  Duration PermissionLeft{0};
  std::size_t SlicesOwned = 0;
  std::vector<GuardianStatus> Guardians;
  // Members for which this node is a guardian.
  std::vector<MemberId> Guarded;
  Facts Known;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_OWNERSHIP_STATUS_H
