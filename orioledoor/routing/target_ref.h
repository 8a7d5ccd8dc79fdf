// Identifies one incarnation of a target: its instance id, its start time and
// the node beside it.
//
//   TargetRef Owner{"i-7f3a91c2", 1764828788000, "tcp://10.1.0.8:7620"};
#ifndef ORIOLEDOOR_ROUTING_TARGET_REF_H
#define ORIOLEDOOR_ROUTING_TARGET_REF_H

#include <compare>
#include <cstdint>
#include <string>

namespace orioledoor::routing {

struct TargetRef {
  // Empty if there is no target.
  std::string Instance;
  // Start time by the target's clock, in Unix milliseconds. Orders the
  // incarnations at one address.
  std::int64_t StartTimeMs = 0;
  // Peer address of the node beside it.
  std::string Node;

  explicit operator bool() const { return !this->Instance.empty(); }
  friend auto operator<=>(const TargetRef &, const TargetRef &) = default;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_REF_H
