// A naive model of a target that holds keys, after the platform's page "Keys
// that backends hold".
#ifndef ORIOLEDOOR_SIDECAR_TESTING_MODEL_TARGET_H
#define ORIOLEDOOR_SIDECAR_TESTING_MODEL_TARGET_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "orioledoor/routing/target_report.h"

namespace orioledoor::sidecar::testing {

// Keys are checked at these positions only; neighbours in between move with
// them or not at all.
inline constexpr std::uint32_t SampleStep = 1024;

// Not thread-safe.
class ModelTarget {
public:
  ModelTarget(std::string Instance, std::int64_t Born, double ClockRate)
      : Instance(std::move(Instance)), Born(Born), ClockRate(ClockRate) {}

  // The next heartbeat; WorkTime is how long released keys stay in use.
  routing::TargetReport report(Instant Now);
  // The answer to the last report. Returns the sampled keys that were taken
  // with a token that this target did not have for them before.
  std::vector<std::pair<std::uint32_t, std::int64_t>>
  answered(const routing::ReportAnswer &Answer, Instant Now, Duration WorkTime);
  // Whether it holds the sampled key or still works on it.
  bool holds(std::uint32_t Key, Instant Now) const;
  bool releasing(Instant Now) const;

  const std::string &instance() const { return this->Instance; }
  std::int64_t born() const { return this->Born; }
  bool Draining = false;

private:
  struct Held {
    routing::KeyRange Keys;
    std::int64_t Fence = 0;
    // Work on it ends then; only for released keys.
    Instant WorkUntil;
  };

  std::string Instance;
  std::int64_t Born;
  // Of its clock; 0.98 is the slowest.
  double ClockRate;
  std::int64_t Sequence = 0;
  Instant ReportedAt;
  Instant HoldEnd;
  std::vector<Held> Holds;
  std::vector<Held> Working;
  std::vector<routing::ReleasedRange> Released;
  std::map<std::uint32_t, std::int64_t> Fences;
};

} // namespace orioledoor::sidecar::testing

#endif // ORIOLEDOOR_SIDECAR_TESTING_MODEL_TARGET_H
