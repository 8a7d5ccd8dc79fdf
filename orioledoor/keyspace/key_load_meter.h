// Measures the demand for the keys of one target.
//
//   Meter.note(Key, Now);
//   KeyDemand Demand = Meter.read(Now);
#ifndef ORIOLEDOOR_KEYSPACE_KEY_LOAD_METER_H
#define ORIOLEDOOR_KEYSPACE_KEY_LOAD_METER_H

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::keyspace {

struct KeyDemand {
  // Requests a second, refused ones included.
  double Rate = 0;
  // Keys that part the demand into equal shares, ascending; a key that makes
  // up several shares stands several times.
  std::vector<std::uint32_t> Quantiles;
};

// Keeps the requests of the last window, at most MaxSamples. Not thread-safe.
class KeyLoadMeter {
public:
  void note(std::uint32_t Key, Instant Now);
  KeyDemand read(Instant Now);

private:
  std::deque<std::pair<Instant, std::uint32_t>> Samples;
};

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_KEY_LOAD_METER_H
