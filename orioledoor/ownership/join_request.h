// A node's request to become a member, kept under keys::JoinPrefix + name.
#ifndef ORIOLEDOOR_OWNERSHIP_JOIN_REQUEST_H
#define ORIOLEDOOR_OWNERSHIP_JOIN_REQUEST_H

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace orioledoor::ownership {

struct JoinRequest {
  std::string Name;
  // Random; a new one for each incarnation.
  std::uint64_t Token = 0;
  std::string PeerAddress;
  std::string HttpAddress;
  std::string Region;
  std::string FailureDomain;
  // The service of the target beside the node.
  std::string Service;
  std::uint32_t Slots = 0;
};

// JSON. Errors of decoding: kInvalidArgument.
std::string encodeJoinRequest(const JoinRequest &Value);
absl::StatusOr<JoinRequest> decodeJoinRequest(std::string_view Json);

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_JOIN_REQUEST_H
