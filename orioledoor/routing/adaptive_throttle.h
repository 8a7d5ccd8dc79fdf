// Client-side throttling of the requests for one service and priority: once
// most of the recent requests were refused, part of the new ones is refused at
// the entry node, so that they do not cross links for nothing.
//
//   if (Throttle.shouldRefuse(Draw, Now)) ...  // refuse the request here
//   Throttle.noteSent(Now);
//   Throttle.noteRefused(SentAt, RetryAfter, Now);   // no target had room
//   Throttle.noteAccepted(SentAt);                   // a target ran it
#ifndef ORIOLEDOOR_ROUTING_ADAPTIVE_THROTTLE_H
#define ORIOLEDOOR_ROUTING_ADAPTIVE_THROTTLE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// Over 2 s, R is the number of requests and A the number of those that were not
// refused. A new request is refused with probability max(0, (R - 2A) / (R +
// 1)). The 2 s end before now by the time in which most refusals arrive, since
// a request counts as accepted until it is refused. Not thread-safe. All
// operations take constant time.
class AdaptiveThrottle {
public:
  // A service is short of room for this long after a refusal. A target with 12
  // slots and 260 ms of work frees a slot every 22 ms, so without a refusal for
  // ten times as long there is room again.
  static constexpr Duration ShortTime = std::chrono::milliseconds(250);

  // ExemptBelow: no request is refused while the probability is lower.
  explicit AdaptiveThrottle(double ExemptBelow = 0)
      : ExemptBelow(ExemptBelow) {}

  // Returns max(0, (R - 2A) / (R + 1)).
  double refusalProbability(Instant Now) const;
  // Decides whether to refuse a new request, and records it if so. Draw is
  // uniform in [0, 1).
  bool shouldRefuse(double Draw, Instant Now);
  // Records a request that is sent to a target.
  void noteSent(Instant Now);
  // Records that all targets tried refused the request sent at SentAt.
  // RetryAfter: the wait that they stated.
  void noteRefused(Instant SentAt, Duration RetryAfter, Instant Now);
  // Records that a target ran the request sent at SentAt.
  void noteAccepted(Instant SentAt);

  // Returns whether requests are being refused for want of room.
  bool isShort(Instant Now) const;
  // The wait that targets stated in the last refusal; 0 if there was none.
  Duration statedWait() const { return this->StatedWait; }

private:
  // The window and its largest delay.
  static constexpr std::size_t SliceCount = 40;

  // Requests of one slice of the window.
  struct Slice {
    std::int64_t Number = -1;
    double Sent = 0;
    // Invariant: at most Sent.
    double Refused = 0;
    double Throttled = 0;
  };

  static std::int64_t sliceNumber(Instant At);
  // Number of slices between the window and now.
  std::int64_t windowDelay() const;
  Slice &sliceAt(Instant At);

  double ExemptBelow;
  std::array<Slice, SliceCount> Slices{};
  // Empty until the first refusal by targets.
  std::optional<Instant> RefusedAt;
  std::optional<Instant> LastSentAt;
  Duration StatedWait{0};
  // Moving average of the time until a refusal arrives.
  Duration RefusalTime{0};
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_ADAPTIVE_THROTTLE_H
