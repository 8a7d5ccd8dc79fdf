// Samples of a sliding window.
#include "orioledoor/keyspace/key_load_meter.h"

#include <algorithm>

namespace orioledoor::keyspace {
namespace {

// A hot spot lasts for seconds; a shorter window would follow chance.
constexpr Duration Window = std::chrono::milliseconds(1000);
// Bounds memory at 16 bytes each; at 1,400 requests a second the window is
// full.
constexpr std::size_t MaxSamples = 2048;
// A move can then be as fine as 1/32 of a target's demand.
constexpr std::size_t Shares = 32;

} // namespace

void KeyLoadMeter::note(std::uint32_t Key, Instant Now) {
  this->Samples.emplace_back(Now, Key);
  if (this->Samples.size() > MaxSamples)
    this->Samples.pop_front();
}

KeyDemand KeyLoadMeter::read(Instant Now) {
  while (!this->Samples.empty() && Now - this->Samples.front().first > Window)
    this->Samples.pop_front();
  KeyDemand Demand;
  if (this->Samples.empty())
    return Demand;
  Duration Span = this->Samples.size() == MaxSamples
                      ? Now - this->Samples.front().first
                      : Window;
  Demand.Rate = static_cast<double>(this->Samples.size()) * 1e6 /
                static_cast<double>(std::max<std::int64_t>(Span.count(), 1));
  std::vector<std::uint32_t> Keys;
  Keys.reserve(this->Samples.size());
  for (const auto &Sample : this->Samples)
    Keys.push_back(Sample.second);
  std::ranges::sort(Keys);
  std::size_t Count = std::min(Shares, Keys.size());
  for (std::size_t I = 1; I < Count; ++I)
    Demand.Quantiles.push_back(Keys[I * Keys.size() / Count]);
  return Demand;
}

} // namespace orioledoor::keyspace
