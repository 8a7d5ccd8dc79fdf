// What a target signals about itself in the headers of its answers, decoded.
#ifndef ORIOLEDOOR_ROUTING_TARGET_SIGNALS_H
#define ORIOLEDOOR_ROUTING_TARGET_SIGNALS_H

#include <cstdint>
#include <optional>

namespace orioledoor::routing {

// Load of the target when it sent the answer.
struct StatedLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  // At least 1.
  std::uint32_t Slots = 1;
  // How long work takes there now, in percent of its usual time; 0 if the
  // answer does not state it.
  std::uint32_t SlowdownPercent = 0;
};

struct TargetSignals {
  // The target is about to stop.
  bool Leaving = false;
  // Requests per second that the target accepts from all nodes together, until
  // an answer states another limit or none. Empty if the answer states none.
  std::optional<double> RateLimit{};
  // The answer states a limit that is not a number.
  bool RateLimitUnreadable = false;
  // Empty if the answer states no load.
  std::optional<StatedLoad> Load{};
  // The answer states a load that is malformed or out of range.
  bool LoadUnreadable = false;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_SIGNALS_H
