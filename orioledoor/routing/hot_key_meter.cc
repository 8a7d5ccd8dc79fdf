// Shares of hot keys from the counts of one interval.
#include "orioledoor/routing/hot_key_meter.h"

#include <algorithm>
#include <vector>

namespace orioledoor::routing {
namespace {

// Bounds the memory. A target that serves 200 requests a second sees at most
// 100 keys in an interval; more keys than this are not hot.
constexpr std::size_t MaxKeys = 1024;
// Refusals in one interval from which a key counts as hot. Fewer can be due to
// a short burst.
constexpr double MinRefusals = 3;
// What entry nodes send in proportion to what was admitted, after an interval
// with refusals and after one without. It is above 1, so that the target's room
// is used and more room is noticed.
constexpr double ProbeFactor = 1.25;
constexpr double RecoveryFactor = 1.5;
// Enough for one request of each entry node in the lifetime of a share.
constexpr double MinShare = 1.0 / 64;
// Weight of earlier intervals. Entry nodes learn a new share with their next
// request for the key, about a second later.
constexpr double MemoryPerInterval = 0.7;
constexpr double MinCount = 0.1;

} // namespace

void HotKeyMeter::note(std::int32_t Key, std::uint32_t Demand, bool Refused,
                       Instant Now) {
  this->advance(Now);
  if (this->Counts.size() >= MaxKeys && !this->Counts.contains(Key))
    return;
  Count &Counted = this->Counts[Key];
  Counted.Demand += std::max(1U, Demand);
  (Refused ? Counted.Refused : Counted.Admitted) += 1;
}

float HotKeyMeter::shareOf(std::int32_t Key, Instant Now) {
  this->advance(Now);
  auto Found = this->Shares.find(Key);
  return Found == this->Shares.end() ? 1.0F : Found->second;
}

void HotKeyMeter::clear() {
  this->Counts.clear();
  this->Shares.clear();
}

float HotKeyMeter::shareFor(const Count &Counted) {
  if (Counted.Demand < 1)
    return 1;
  double Factor = Counted.Refused >= 1 ? ProbeFactor : RecoveryFactor;
  double Wanted = (Counted.Admitted * Factor + 1) / Counted.Demand;
  return static_cast<float>(std::clamp(Wanted, MinShare, 1.0));
}

void HotKeyMeter::advance(Instant Now) {
  if (Now - this->IntervalStart < Interval)
    return;
  this->IntervalStart = Now;
  for (const auto &[Key, Counted] : this->Counts)
    if (Counted.Refused >= MinRefusals)
      this->Shares.try_emplace(Key, 1.0F);
  for (auto &[Key, Share] : this->Shares) {
    auto Found = this->Counts.find(Key);
    Share = shareFor(Found == this->Counts.end() ? Count() : Found->second);
  }
  std::erase_if(this->Shares,
                [](const auto &Entry) { return Entry.second >= 1.0F; });
  for (auto &[Key, Counted] : this->Counts) {
    Counted.Demand *= MemoryPerInterval;
    Counted.Admitted *= MemoryPerInterval;
    Counted.Refused *= MemoryPerInterval;
  }
  std::erase_if(this->Counts, [](const auto &Entry) {
    return Entry.second.Demand < MinCount;
  });
}

} // namespace orioledoor::routing
