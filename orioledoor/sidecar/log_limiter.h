// Token-bucket rate limiter for log lines, with one bucket for each event
// number. Counts the lines that it drops.
//
//   if (Limiter.allow(Record.Event->Number, Now))
//     Log.write(Record);
#ifndef ORIOLEDOOR_SIDECAR_LOG_LIMITER_H
#define ORIOLEDOOR_SIDECAR_LOG_LIMITER_H

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <utility>

#include "orioledoor/base/instant.h"

namespace orioledoor::sidecar {

struct LogLimiterOptions {
  // Lines per second in the long run, and lines at once, for each event number.
  double Rate = 10;
  double Burst = 40;
};

// Not thread-safe; constant time.
class LogLimiter {
public:
  explicit LogLimiter(LogLimiterOptions Options = {}) : Options(Options) {}

  // Returns whether a line of the event may be written now.
  bool allow(int EventNumber, Instant Now) {
    auto [Found, Added] = this->Buckets.try_emplace(
        EventNumber, Bucket{this->Options.Burst, Now});
    Bucket &EventBucket = Found->second;
    double Seconds =
        static_cast<double>((Now - EventBucket.RefilledAt).count()) / 1e6;
    EventBucket.Tokens = std::min(
        this->Options.Burst, EventBucket.Tokens + Seconds * this->Options.Rate);
    EventBucket.RefilledAt = Now;
    if (EventBucket.Tokens < 1) {
      ++this->Dropped;
      return false;
    }
    EventBucket.Tokens -= 1;
    return true;
  }

  // Returns the number of lines dropped since the last call.
  std::uint64_t takeDropped() { return std::exchange(this->Dropped, 0); }

private:
  struct Bucket {
    double Tokens = 0;
    Instant RefilledAt;
  };
  LogLimiterOptions Options;
  std::unordered_map<int, Bucket> Buckets;
  std::uint64_t Dropped = 0;
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_LOG_LIMITER_H
