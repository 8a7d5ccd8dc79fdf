// Refill and consumption of the token bucket.
#include "orioledoor/requests/rate_limiter.h"

#include <algorithm>
#include <utility>

namespace orioledoor::requests {

void RateLimiter::refill(double Limit, double Share, Instant Now) {
  double PreviousRate = std::exchange(this->Rate, Limit * Share);
  double Capacity = std::max(1.0, this->Rate * BurstSeconds);
  if (!std::exchange(this->Initialized, true)) {
    this->Tokens = Capacity;
  } else {
    double Seconds =
        std::chrono::duration<double>(Now - this->RefilledAt).count();
    this->Tokens = std::min(
        this->Tokens + Seconds * std::min(PreviousRate, this->Rate), Capacity);
  }
  this->RefilledAt = Now;
}

bool RateLimiter::tryTake(double Limit, double Share, Instant Now) {
  if (Limit <= 0)
    return true;
  this->refill(Limit, Share, Now);
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

Duration RateLimiter::timeUntilNextToken() const {
  // A node that owns no slice gets no tokens; the caller retries after a
  // second.
  if (this->Rate <= 0)
    return std::chrono::seconds(1);
  double Seconds = std::max(0.0, 1 - this->Tokens) / this->Rate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, 3600.0)));
}

} // namespace orioledoor::requests
