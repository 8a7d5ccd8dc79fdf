// Steps, thresholds and smoothing of the shares that leave a failure domain or
// a region.
#include "orioledoor/routing/domain_spill.h"

#include <algorithm>
#include <cmath>

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;

// Shortest time between two steps. A share passes from none to all in 2 s,
// which is the time within which new targets must get work.
constexpr Duration StepInterval = milliseconds(250);
// A step does without a newer view after this time, since a target that gets no
// requests sends no views.
constexpr Duration ViewLifetime = std::chrono::seconds(1);
// While the time here already falls, another step up waits this long for the
// queues to shrink, and likewise for steps down. Without it, a share that had
// to be a fifth rose to five eighths in the model of domain_spill_test.cc.
constexpr Duration SettleTime = std::chrono::seconds(2);
// Time over which the estimates of single requests are averaged: one step.
constexpr Duration SmoothingTime = StepInterval;
// Largest weight of one request. With fewer than four requests in the smoothing
// time, a single slow target in a sample would cause steps.
constexpr double MaxWeight = 0.25;
// Requests stay while they are expected to take at most half of the target
// latency: targets take 0.5 to 1.6 times the mean, so answers of the slower
// ones are then still in time.
constexpr double LeaveShareOfLatency = 0.5;
// The share falls again below this part. The difference, an eighth of the
// latency, is what one step of the share changes at a target at its limit.
constexpr double ReturnShareOfLatency = 0.375;
// The share also falls if the time there is longer by that difference. At a
// smaller one, shares of regions that are all at their limit rise and fall with
// the noise of single views.
constexpr double Hysteresis = LeaveShareOfLatency - ReturnShareOfLatency;
// Stands for the time of a ring that refuses, in target latencies.
constexpr double RefusedLatencies = 1.5;
// Used in place of a target latency for routes without one.
constexpr Duration UnstatedLatency = std::chrono::seconds(1);

double microsOf(Duration Value) { return static_cast<double>(Value.count()); }

Duration durationOf(double Micros) {
  return Duration(static_cast<std::int64_t>(Micros));
}

} // namespace

const char *boundaryName(SpillBoundary Boundary) {
  return Boundary == SpillBoundary::Domain ? "domain" : "region";
}

Duration stayLimit(Duration TargetLatency) {
  return durationOf(microsOf(TargetLatency) * LeaveShareOfLatency);
}

bool gainsByLeaving(const SpillTimes &Times) {
  return Times.There &&
         (!Times.Here || *Times.There + Times.Transit < *Times.Here);
}

std::optional<SpillStep> DomainSpill::observe(SpillBoundary Boundary,
                                              const SpillTimes &Times,
                                              Instant Now) {
  BoundaryState &State = this->Boundaries[static_cast<std::size_t>(Boundary)];
  double Latency = microsOf(
      Times.TargetLatency.count() > 0 ? Times.TargetLatency : UnstatedLatency);
  double Beyond = Latency * RefusedLatencies;
  double Here = Times.Here ? microsOf(*Times.Here) : Beyond;
  double There = Times.There ? microsOf(*Times.There) : 2 * Beyond;
  double Weight =
      State.LastAt
          ? std::min(MaxWeight, 1 - std::exp(-microsOf(Now - *State.LastAt) /
                                             microsOf(SmoothingTime)))
          : 1;
  State.Here += (Here - State.Here) * Weight;
  State.There += (There - State.There) * Weight;
  State.LastAt = Now;

  // A refusal shows the state of the targets as well as a view does.
  if (State.LastStepAt) {
    Duration Elapsed = Now - *State.LastStepAt;
    bool Seen = !Times.Here || Times.SeenAt > *State.LastStepAt;
    if (Elapsed < StepInterval || (!Seen && Elapsed < ViewLifetime))
      return std::nullopt;
  }
  bool Settled = !State.LastStepAt || Now - *State.LastStepAt >= SettleTime;
  std::uint32_t From = State.Share;
  if (State.Here > Latency * LeaveShareOfLatency &&
      State.There + microsOf(Times.Transit) < State.Here) {
    if (Settled || !State.LastStepUp || State.Here >= State.HereAtStep)
      State.Share = std::min(State.Share + 1, SpillSteps);
  } else if (State.Share > 0 &&
             (State.Here < Latency * ReturnShareOfLatency ||
              State.There >= State.Here + Latency * Hysteresis)) {
    if (Settled || State.LastStepUp || State.Here <= State.HereAtStep)
      --State.Share;
  }
  if (State.Share == From)
    return std::nullopt;
  State.LastStepAt = Now;
  State.LastStepUp = State.Share > From;
  State.HereAtStep = State.Here;
  return SpillStep{Boundary, From, State.Share, durationOf(State.Here),
                   durationOf(State.There)};
}

} // namespace orioledoor::routing
