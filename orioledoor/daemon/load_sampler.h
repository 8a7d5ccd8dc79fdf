// Measures the call rate of each slice for the load reports of the ownership
// reducer.
#ifndef ORIOLEDOOR_DAEMON_LOAD_SAMPLER_H
#define ORIOLEDOOR_DAEMON_LOAD_SAMPLER_H

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/event.h"

namespace orioledoor::daemon {

// Not thread-safe.
class LoadSampler {
public:
  explicit LoadSampler(Instant Start) : LastSampleAt(Start) {}

  // Counts one call to Slice.
  void recordCall(SliceRef Slice) { ++this->CallCounts[Slice]; }

  // Returns the call rates (calls per second) since the last sample, or nullopt
  // if less than 1 s has passed. Sorted by slice, since the reducer's input
  // must not depend on the iteration order of a hash table. O(n log n) in the
  // slices that were called.
  std::optional<ownership::LoadSampled> sample(Instant Now);

private:
  Instant LastSampleAt;
  std::unordered_map<SliceRef, std::uint32_t> CallCounts;
};

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_LOAD_SAMPLER_H
