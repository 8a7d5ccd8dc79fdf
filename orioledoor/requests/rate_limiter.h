// Token bucket for this node's share of the rate limit of a service.
#ifndef ORIOLEDOOR_REQUESTS_RATE_LIMITER_H
#define ORIOLEDOOR_REQUESTS_RATE_LIMITER_H

#include "orioledoor/base/instant.h"

namespace orioledoor::requests {

// Not thread-safe. All operations are constant.
class RateLimiter {
public:
  // Adds the tokens for the time since the last call, at the lower of the
  // previous and the new rate, so that a share that moves between nodes is not
  // counted on both. Called on each Tick, since the share may change more than
  // once between requests.
  void refill(double Limit, double Share, Instant Now);

  // Takes a token from a bucket that fills at Limit x Share tokens a second.
  // Returns false if there is none. A Limit of 0 means unlimited.
  bool tryTake(double Limit, double Share, Instant Now);

  // Returns the time until a token is available, at the rate of the last
  // tryTake.
  Duration timeUntilNextToken() const;

private:
  // Capacity of the bucket, as time at the node's rate. The capacity is at
  // least one token, since a share of a small limit would admit nothing
  // otherwise.
  static constexpr double BurstSeconds = 0.1;

  bool Initialized = false;
  double Tokens = 0;
  double Rate = 0;
  Instant RefilledAt;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_RATE_LIMITER_H
