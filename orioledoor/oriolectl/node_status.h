// Queries nodes for their state over HTTP at /oriole/status.
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
  // Empty if the node responded; otherwise the reason why the other fields are
  // unset.
  std::string Error;
  std::string Node;
  // 0 while the node is not a member.
  std::uint32_t Member = 0;
  // The revision in force at the node; 0 if none is yet.
  std::uint64_t CatalogueRevision = 0;
  std::uint64_t AssignmentVersion = 0;
  std::uint64_t SlicesOwned = 0;
  // Remaining validity of the node's permission to serve, in milliseconds; 0 if
  // it holds none.
  std::int64_t PermissionMs = 0;
  bool Ready = false;
  // Members that the node reports as deposed or as having left. The assignment
  // may not record this yet.
  std::vector<MemberId> DepartedMembers;
};

// Decodes the body of a status response. Leaves Address and Error unset.
// Errors: kDataLoss if Body is not valid JSON or a field is missing or has the
// wrong type.
absl::StatusOr<NodeStatus> decodeNodeStatus(std::string_view Body);

nlohmann::json statusJson(const NodeStatus &Status);

// Queries all nodes concurrently and returns one entry per node, in the same
// order. Blocks for at most Timeout; a node that has not responded by then has
// an Error.
std::vector<NodeStatus> fetchStatuses(EventLoop &Loop,
                                      std::span<const Endpoint> Nodes,
                                      Duration Timeout);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_NODE_STATUS_H
