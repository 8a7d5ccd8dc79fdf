// Measures the request rate and its distribution over the keys of one target.
//
//   Meter.recordRequest(Key, Now);
//   KeyDemand Demand = Meter.measure(Now);
#ifndef ORIOLEDOOR_KEYSPACE_KEY_LOAD_METER_H
#define ORIOLEDOOR_KEYSPACE_KEY_LOAD_METER_H

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::keyspace {

struct KeyDemand {
  // Requests per second, including rejected ones.
  double Rate = 0;
  // Keys that divide the demand into equal shares, in ascending order. A key
  // that accounts for several shares is listed several times.
  std::vector<std::uint32_t> Quantiles;
};

// Sliding window over recent requests, limited to MaxSamples. Not thread-safe.
class KeyLoadMeter {
public:
  // Constant time.
  void recordRequest(std::uint32_t Key, Instant Now);
  // Sorts the samples of the window: O(n log n).
  KeyDemand measure(Instant Now);

private:
  std::deque<std::pair<Instant, std::uint32_t>> Samples;
};

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_KEY_LOAD_METER_H
