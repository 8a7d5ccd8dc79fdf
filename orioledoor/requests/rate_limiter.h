// Token bucket for this node's share of a service's rate limit.
#ifndef ORIOLEDOOR_REQUESTS_RATE_LIMITER_H
#define ORIOLEDOOR_REQUESTS_RATE_LIMITER_H

#include "orioledoor/base/instant.h"

namespace orioledoor::requests {

// Not thread-safe. All operations are constant.
class RateLimiter {
public:
  // Adds the tokens since the last call at the smaller of the rates then and
  // now, so that a share that changed hands fills no bucket twice. Called on
  // each Tick, since the share may change more than once between requests.
  void refill(double Limit, double Share, Instant Now);

  // Takes one token of a bucket that fills at Limit x Share a second. A Limit
  // of 0 means unlimited.
  bool tryTake(double Limit, double Share, Instant Now);

  // Time until a token is available at the rate of the last tryTake.
  Duration timeUntilNextToken() const;

private:
  // Largest burst, as time at the node's rate. A bucket holds at least one
  // token, since a share of a small limit would admit nothing otherwise.
  static constexpr double BurstSeconds = 0.1;

  bool Initialized = false;
  double Tokens = 0;
  double Rate = 0;
  Instant RefilledAt;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_RATE_LIMITER_H
