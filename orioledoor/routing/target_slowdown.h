// How long work takes at a target at the moment, compared with its usual time,
// as the target states in its answers. The figure changes many times a second.
//
//   TargetSlowdown Slowdown;
//   Slowdown.note(300, Now);
//   Times.note(Class, Slowdown.withoutSlowdown(HoldTime, Now), Now);
//   Duration Expected = Slowdown.atPresent(Times.meanOf(Class, Now), Now);
#ifndef ORIOLEDOOR_ROUTING_TARGET_SLOWDOWN_H
#define ORIOLEDOOR_ROUTING_TARGET_SLOWDOWN_H

#include <cstdint>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// A stated percent that is older does not describe the present: slow spells of
// targets last 400 ms. The mean applies then.
inline constexpr Duration SlowdownLifetime = std::chrono::milliseconds(500);

// Mean over time and latest value of the stated percent. Durations stay as they
// are until a percent was stated. Not thread-safe. All operations are constant.
class TargetSlowdown {
public:
  // Percent is at least 1. Now does not decrease.
  void note(std::uint32_t Percent, Instant Now);
  // Discards everything, for example when the target was replaced.
  void clear() { *this = TargetSlowdown(); }

  // Latest percent; 0 if none was stated.
  std::uint32_t latestPercent() const { return this->Latest; }
  // Latest percent as a percentage of the mean; 0 if none was stated.
  std::uint32_t percentOfMean() const;
  // Age of the latest percent; 0 if none was stated.
  Duration age(Instant Now) const;

  // Converts a measured time of work that ends at Now to a percent of 100.
  Duration withoutSlowdown(Duration Measured, Instant Now) const;
  // Returns the time at Now of work that takes Usual at a percent of 100.
  Duration atPresent(Duration Usual, Instant Now) const;
  // The same for a time that is not known.
  Duration atMean(Duration Usual) const;

private:
  double meanPercent() const;
  double percentAt(Instant Now) const;

  std::uint32_t Latest = 0;
  Instant LatestAt;
  // Sum of percent times duration, and of durations, with exponential decay.
  double WeightedSum = 0;
  double WeightMicros = 0;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_SLOWDOWN_H
