// Token arithmetic of the rate limit.
#include "orioledoor/requests/rate_limiter.h"

#include <algorithm>

namespace orioledoor::requests {

bool RateLimiter::tryTake(double Limit, double Share, Instant Now) {
  if (Limit <= 0)
    return true;
  this->Rate = Limit * Share;
  double Capacity = std::max(1.0, this->Rate * BurstSeconds);
  if (!this->Started) {
    this->Started = true;
    this->Tokens = Capacity;
  } else {
    double Seconds =
        std::chrono::duration<double>(Now - this->RefilledAt).count();
    this->Tokens = std::min(this->Tokens + Seconds * this->Rate, Capacity);
  }
  this->RefilledAt = Now;
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

Duration RateLimiter::untilNext() const {
  // A node that owns nothing at the moment gets no tokens; the caller is to
  // look again after a second.
  if (this->Rate <= 0)
    return std::chrono::seconds(1);
  double Seconds = std::max(0.0, 1 - this->Tokens) / this->Rate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, 3600.0)));
}

} // namespace orioledoor::requests
