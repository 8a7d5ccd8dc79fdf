// A simple model of a target that holds keys, following the platform's page
// "Keys that backends hold".
#ifndef ORIOLEDOOR_SIDECAR_TESTING_MODEL_TARGET_H
#define ORIOLEDOOR_SIDECAR_TESTING_MODEL_TARGET_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "orioledoor/routing/target_report.h"

namespace orioledoor::sidecar::testing {

// Only multiples of this step are checked. The keys in between move together
// with them or not at all.
inline constexpr std::uint32_t SampleStep = 1024;

// Not thread-safe.
class ModelTarget {
public:
  // The address that each target states; also that of the settings.
  static constexpr char Address[] = "10.0.0.1:8301";

  ModelTarget(std::string Service, std::string Instance, std::int64_t Born,
              double ClockRate)
      : Service(std::move(Service)), Instance(std::move(Instance)), Born(Born),
        ClockRate(ClockRate) {}

  // Returns the next heartbeat report.
  routing::TargetReport report(Instant Now);
  // Applies the answer to the last report. Released keys stay in use for
  // WorkTime. Returns the sampled keys that were acquired with a token that
  // this target did not have for them before.
  std::vector<std::pair<std::uint32_t, std::int64_t>>
  applyAnswer(const routing::ReportAnswer &Answer, Instant Now,
              Duration WorkTime);
  // Returns whether the target holds the sampled key or still works on it.
  bool holds(std::uint32_t Key, Instant Now) const;
  // Returns whether released keys are still in use.
  bool isReleasing(Instant Now) const;

  const std::string &instance() const { return this->Instance; }
  std::int64_t born() const { return this->Born; }
  bool Draining = false;

private:
  struct HeldRange {
    routing::KeyRange Keys;
    std::int64_t Fence = 0;
    // Time at which work on the range ends; used for released keys only.
    Instant WorkUntil;
  };

  std::string Service;
  std::string Instance;
  std::int64_t Born;
  // Speed of the target's clock; 0.98 is the slowest.
  double ClockRate;
  std::int64_t Sequence = 0;
  Instant ReportedAt;
  Instant HoldsEndAt;
  std::vector<HeldRange> Holds;
  std::vector<HeldRange> InUse;
  std::vector<routing::ReleasedRange> Released;
  std::map<std::uint32_t, std::int64_t> Fences;
};

} // namespace orioledoor::sidecar::testing

#endif // ORIOLEDOOR_SIDECAR_TESTING_MODEL_TARGET_H
