// The state of nodes as they report it under /oriole/status.
//
//   std::vector<NodeStatus> All = fetchStatuses(Loop, Addresses,
//                                               std::chrono::seconds(1));
#ifndef ORIOLEDOOR_ORIOLECTL_NODE_STATUS_H
#define ORIOLEDOOR_ORIOLECTL_NODE_STATUS_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "absl/status/statusor.h"
#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/catalogue/settings.h"

namespace orioledoor::ctl {

class EventLoop;

struct NodeStatus {
  Endpoint Address;
  // Empty if the node answered; else why the other fields are unset.
  std::string Error;
  std::string Node;
  // 0 while the node is not a member.
  std::uint32_t Member = 0;
  // In force at the node; 0 means none yet.
  std::uint64_t CatalogueRevision = 0;
  std::uint64_t AssignmentVersion = 0;
  std::uint64_t SlicesOwned = 0;
  // What is left of the permission to serve; 0 if it holds none.
  std::int64_t PermissionMs = 0;
  bool Ready = false;
  // Members that the node knows to be deposed or to have left; the assignment
  // may not record it yet.
  std::vector<MemberId> Gone;
};

// Reads the body of a status answer; Address and Error stay unset. Errors:
// kDataLoss if Body is not JSON or a field is missing.
absl::StatusOr<NodeStatus> decodeNodeStatus(std::string_view Body);

nlohmann::json statusJson(const NodeStatus &Status);

// Asks all nodes at once and returns one entry each, in the same order, after
// at most Limit.
std::vector<NodeStatus>
fetchStatuses(EventLoop &Loop, std::span<const Endpoint> Nodes, Duration Limit);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_NODE_STATUS_H
