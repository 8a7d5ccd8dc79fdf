// Window of recent requests and the probability that follows from it.
#include "orioledoor/routing/adaptive_throttle.h"

#include <algorithm>

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;

constexpr Duration SliceLength = milliseconds(100);
constexpr std::int64_t WindowSlices = 20;
// Refusals that take longer than this multiple of the mean are rare.
constexpr int RefusalTimeFactor = 2;
// Weight of a new refusal in the mean time; about the last 20 count.
constexpr int RefusalTimeDivisor = 20;
// A request is sent at least this often, since only answers of targets show
// that there is room again.
constexpr Duration ProbeInterval = milliseconds(500);
// A tenth of the requests is sent however many are refused. Without it, nodes
// whose requests happen to be accepted send more and are accepted more often:
// 20 nodes with five times the capacity in requests got 381 to 964 of them
// through in 30 s, and 476 to 746 with it.
constexpr double MaxRefusedShare = 0.9;
// Factor on the refusals in the window for each answer that shows room.
constexpr double RoomFactor = 0.5;

} // namespace

std::int64_t AdaptiveThrottle::sliceNumber(Instant At) {
  return At.micros() / SliceLength.count();
}

AdaptiveThrottle::Slice &AdaptiveThrottle::sliceAt(Instant At) {
  std::int64_t Number = sliceNumber(At);
  Slice &Found = this->Slices[static_cast<std::size_t>(Number) % SliceCount];
  if (Found.Number < Number)
    Found = {.Number = Number};
  return Found;
}

std::int64_t AdaptiveThrottle::windowDelay() const {
  return std::min<std::int64_t>(
      this->RefusalTime * RefusalTimeFactor / SliceLength,
      static_cast<std::int64_t>(SliceCount) - WindowSlices);
}

double AdaptiveThrottle::refusalProbability(Instant Now) const {
  double Requests = 0;
  double Accepted = 0;
  std::int64_t Last = sliceNumber(Now) - this->windowDelay();
  for (const Slice &Part : this->Slices)
    if (Part.Number > Last - WindowSlices && Part.Number <= Last) {
      Requests += Part.Sent + Part.Throttled;
      Accepted += Part.Sent - Part.Refused;
    }
  return std::max(0.0, (Requests - 2 * Accepted) / (Requests + 1));
}

bool AdaptiveThrottle::shouldRefuse(double Draw, Instant Now) {
  double Probability = this->refusalProbability(Now);
  if (Probability <= 0 || Probability < this->ExemptBelow ||
      Draw >= Probability * MaxRefusedShare || !this->LastSentAt ||
      Now - *this->LastSentAt >= ProbeInterval)
    return false;
  this->sliceAt(Now).Throttled += 1;
  return true;
}

void AdaptiveThrottle::noteSent(Instant Now) {
  this->sliceAt(Now).Sent += 1;
  this->LastSentAt = Now;
}

void AdaptiveThrottle::noteRefused(Instant SentAt, Duration RetryAfter,
                                   Instant Now) {
  this->RefusedAt = Now;
  this->StatedWait = RetryAfter;
  this->RefusalTime += (Now - SentAt - this->RefusalTime) / RefusalTimeDivisor;
  // A request that was sent before the window began no longer counts.
  Slice &Found = this->sliceAt(SentAt);
  if (Found.Number == sliceNumber(SentAt))
    Found.Refused = std::min(Found.Refused + 1, Found.Sent);
}

void AdaptiveThrottle::noteAccepted(Instant SentAt) {
  // While a service is short of room, refusals arrive more often than a request
  // takes, so an answer without one since the request was sent shows that there
  // is room. Without this, the refusals in the window would hold back requests
  // for several seconds.
  if (!this->RefusedAt || SentAt <= *this->RefusedAt)
    return;
  for (Slice &Part : this->Slices) {
    Part.Sent -= Part.Refused * (1 - RoomFactor);
    Part.Refused *= RoomFactor;
    Part.Throttled *= RoomFactor;
  }
}

bool AdaptiveThrottle::isShort(Instant Now) const {
  return (this->RefusedAt && Now - *this->RefusedAt < ShortTime) ||
         this->refusalProbability(Now) > 0;
}

} // namespace orioledoor::routing
