// Converts call counts to rates.
#include "orioledoor/daemon/load_sampler.h"

#include <algorithm>
#include <utility>

namespace orioledoor::daemon {

std::optional<ownership::LoadSampled> LoadSampler::sample(Instant Now) {
  Duration Elapsed = Now - this->LastSampleAt;
  if (Elapsed < std::chrono::seconds(1))
    return std::nullopt;
  this->LastSampleAt = Now;
  double Seconds = static_cast<double>(Elapsed.count()) / 1e6;
  ownership::LoadSampled Sample;
  for (const auto &[Slice, Count] : std::exchange(this->CallCounts, {}))
    Sample.Slices.push_back({Slice, Count / Seconds});
  std::ranges::sort(Sample.Slices, {}, &ownership::SliceLoad::Slice);
  return Sample;
}

} // namespace orioledoor::daemon
