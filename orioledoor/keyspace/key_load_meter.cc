// Request samples of a sliding window.
#include "orioledoor/keyspace/key_load_meter.h"

#include <algorithm>

namespace orioledoor::keyspace {
namespace {

// Hot spots last for seconds; a shorter window would follow random fluctuation.
constexpr Duration Window = std::chrono::milliseconds(1000);
// Bounds memory use, at 16 bytes per sample. At 1,400 requests per second the
// window is full.
constexpr std::size_t MaxSamples = 2048;
// Number of equal shares of the demand: a move can be as small as 1/32 of it.
constexpr std::size_t QuantileCount = 32;

} // namespace

void KeyLoadMeter::recordRequest(std::uint32_t Key, Instant Now) {
  this->Samples.emplace_back(Now, Key);
  if (this->Samples.size() > MaxSamples)
    this->Samples.pop_front();
}

KeyDemand KeyLoadMeter::measure(Instant Now) {
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
  std::size_t Count = std::min(QuantileCount, Keys.size());
  for (std::size_t I = 1; I < Count; ++I)
    Demand.Quantiles.push_back(Keys[I * Keys.size() / Count]);
  return Demand;
}

} // namespace orioledoor::keyspace
