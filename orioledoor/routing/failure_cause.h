// Why an entry node failed a request that a target may have run, for logs and
// metrics.
#ifndef ORIOLEDOOR_ROUTING_FAILURE_CAUSE_H
#define ORIOLEDOOR_ROUTING_FAILURE_CAUSE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace orioledoor::routing {

enum class FailureCause : std::uint8_t {
  // The node beside the target stated that there is no complete answer.
  Stated,
  // No result had arrived when the time of the request was over.
  Deadline,
  // The node beside the target could not be reached. The target may still be
  // at work.
  Unreachable,
  // An earlier try may have run, and another one was not possible.
  NoRetry,
};
inline constexpr std::size_t FailureCauseCount = 4;

constexpr std::string_view failureCauseName(FailureCause Cause) {
  constexpr std::array<std::string_view, FailureCauseCount> Names{
      "stated", "deadline", "unreachable", "no-retry"};
  return Names[static_cast<std::size_t>(Cause)];
}

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_FAILURE_CAUSE_H
