// What was taken out of a node's retry budget of one service, by reason.
#ifndef ORIOLEDOOR_ROUTING_RETRY_USE_H
#define ORIOLEDOOR_ROUTING_RETRY_USE_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace orioledoor::routing {

// Why a request is sent to another target.
enum class RetryReason : std::uint8_t {
  // The target states that it did not run the request.
  Refused,
  // The target answered with a failure.
  Failed,
  // No complete answer was received.
  Lost,
  // The target does not hold the key of the request any more.
  KeyMoved,
};
inline constexpr std::size_t RetryReasonCount = 4;

// Name for logs and metrics.
constexpr const char *retryReasonName(RetryReason Reason) {
  switch (Reason) {
  case RetryReason::Refused:
    return "refused";
  case RetryReason::Failed:
    return "failed";
  case RetryReason::Lost:
    return "lost";
  case RetryReason::KeyMoved:
    return "key-moved";
  }
  return "unknown";
}

// Totals since the start of the process.
struct RetryUse {
  // Retries that were sent, by reason.
  std::array<std::uint64_t, RetryReasonCount> Taken{};
  // Retries that the budget did not allow.
  std::uint64_t Denied = 0;
  // Calls that runs of the target on this VM made, each counted with the share
  // of these runs that were repeats.
  double Inherited = 0;

  friend bool operator==(const RetryUse &, const RetryUse &) = default;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_RETRY_USE_H
