// A node's request to become a member, stored under keys::JoinPrefix + name.
#ifndef ORIOLEDOOR_OWNERSHIP_JOIN_REQUEST_H
#define ORIOLEDOOR_OWNERSHIP_JOIN_REQUEST_H

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace orioledoor::ownership {

struct JoinRequest {
  std::string Name;
  // Random; different for each incarnation of the node.
  std::uint64_t Token = 0;
  std::string PeerAddress;
  std::string HttpAddress;
  std::string Region;
  std::string FailureDomain;
  // The service of the local target.
  std::string Service;
  std::uint32_t Slots = 0;
};

// Encodes and decodes a join request as JSON. Decoding errors:
// kInvalidArgument.
std::string encodeJoinRequest(const JoinRequest &Value);
absl::StatusOr<JoinRequest> decodeJoinRequest(std::string_view Json);

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_JOIN_REQUEST_H
