// Bounds the volume of the log: each event number has a bucket of lines, and
// what does not fit is counted.
//
//   if (Limiter.allow(Record.Event->Number, Now)) Log.write(Record);
#ifndef ORIOLEDOOR_SIDECAR_LOG_LIMITER_H
#define ORIOLEDOOR_SIDECAR_LOG_LIMITER_H

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <utility>

#include "orioledoor/base/instant.h"

namespace orioledoor::sidecar {

struct LogLimiterOptions {
  // Lines a second and number in the long run, and at once.
  double Rate = 10;
  double Burst = 40;
};

// Not thread-safe; constant time.
class LogLimiter {
public:
  explicit LogLimiter(LogLimiterOptions Options = {}) : Options(Options) {}

  bool allow(int Number, Instant Now) {
    auto [Found, Added] =
        this->Buckets.try_emplace(Number, Bucket{this->Options.Burst, Now});
    Bucket &Of = Found->second;
    double Seconds = static_cast<double>((Now - Of.At).count()) / 1e6;
    Of.Tokens =
        std::min(this->Options.Burst, Of.Tokens + Seconds * this->Options.Rate);
    Of.At = Now;
    if (Of.Tokens < 1) {
      ++this->Dropped;
      return false;
    }
    Of.Tokens -= 1;
    return true;
  }

  // Lines dropped since the last call.
  std::uint64_t takeDropped() { return std::exchange(this->Dropped, 0); }

private:
  struct Bucket {
    double Tokens = 0;
    Instant At;
  };
  LogLimiterOptions Options;
  std::unordered_map<int, Bucket> Buckets;
  std::uint64_t Dropped = 0;
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_LOG_LIMITER_H
