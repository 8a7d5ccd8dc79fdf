// Turns counts into rates.
#include "orioledoor/daemon/load_sampler.h"

#include <algorithm>
#include <utility>

namespace orioledoor::daemon {

std::optional<ownership::LoadSampled> LoadSampler::take(Instant Now) {
  Duration Passed = Now - this->Since;
  if (Passed < std::chrono::seconds(1))
    return std::nullopt;
  this->Since = Now;
  double Seconds = static_cast<double>(Passed.count()) / 1e6;
  ownership::LoadSampled Sample;
  for (const auto &[Slice, Count] : std::exchange(this->Calls, {}))
    Sample.Slices.push_back({Slice, Count / Seconds});
  std::ranges::sort(Sample.Slices, {}, &ownership::SliceLoad::Slice);
  return Sample;
}

} // namespace orioledoor::daemon
