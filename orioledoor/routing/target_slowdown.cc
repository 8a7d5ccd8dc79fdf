// Time-weighted mean of the stated percent and the conversion of durations.
#include "orioledoor/routing/target_slowdown.h"

#include <algorithm>
#include <cmath>

namespace orioledoor::routing {
namespace {

// Time constant of the mean. Slow spells of 400 ms take a fifth of the time, so
// they come about each 2 s; the mean covers several of them.
constexpr Duration MeanTime = std::chrono::seconds(10);

Duration scaled(Duration Time, double Factor) {
  return Duration(static_cast<std::int64_t>(
      std::llround(static_cast<double>(Time.count()) * Factor)));
}

} // namespace

void TargetSlowdown::note(std::uint32_t Percent, Instant Now) {
  if (this->Latest > 0) {
    // The percent before applied until now, at most for its lifetime. The mean
    // is over time rather than over answers, since fewer answers come from slow
    // spells.
    auto Micros = static_cast<double>(
        std::clamp(Now - this->LatestAt, Duration(0), SlowdownLifetime)
            .count());
    double Decay = std::exp(-Micros / static_cast<double>(MeanTime.count()));
    this->WeightedSum = this->WeightedSum * Decay + this->Latest * Micros;
    this->WeightMicros = this->WeightMicros * Decay + Micros;
  }
  this->Latest = Percent;
  this->LatestAt = Now;
}

double TargetSlowdown::meanPercent() const {
  if (this->WeightMicros > 0)
    return this->WeightedSum / this->WeightMicros;
  return this->Latest > 0 ? this->Latest : 100;
}

double TargetSlowdown::percentAt(Instant Now) const {
  return this->Latest > 0 && this->age(Now) < SlowdownLifetime
             ? this->Latest
             : this->meanPercent();
}

std::uint32_t TargetSlowdown::percentOfMean() const {
  if (this->Latest == 0)
    return 0;
  return std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(
             std::lround(this->Latest * 100 / this->meanPercent())));
}

Duration TargetSlowdown::age(Instant Now) const {
  return this->Latest > 0 ? std::max(Now - this->LatestAt, Duration(0))
                          : Duration(0);
}

Duration TargetSlowdown::withoutSlowdown(Duration Measured, Instant Now) const {
  return this->Latest > 0 ? scaled(Measured, 100 / this->percentAt(Now))
                          : Measured;
}

Duration TargetSlowdown::atPresent(Duration Usual, Instant Now) const {
  return this->Latest > 0 ? scaled(Usual, this->percentAt(Now) / 100) : Usual;
}

Duration TargetSlowdown::atMean(Duration Usual) const {
  return this->Latest > 0 ? scaled(Usual, this->meanPercent() / 100) : Usual;
}

} // namespace orioledoor::routing
