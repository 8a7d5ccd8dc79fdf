// What a target signals about itself in the headers of its answers, decoded.
#ifndef ORIOLEDOOR_ROUTING_TARGET_SIGNALS_H
#define ORIOLEDOOR_ROUTING_TARGET_SIGNALS_H

#include <optional>

namespace orioledoor::routing {

struct TargetSignals {
  // The target is about to stop.
  bool Leaving = false;
  // Requests per second that the target accepts from all nodes together, until
  // an answer states another limit or none. Empty if the answer states none.
  std::optional<double> RateLimit{};
  // The answer states a limit that is not a number.
  bool RateLimitUnreadable = false;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_SIGNALS_H
