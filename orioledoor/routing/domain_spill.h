// Decides which share of the requests of a class may leave the failure domain
// of their entry node for the rest of the region, and which share may leave the
// region.
//
//   auto Step = Spill.observe(SpillBoundary::Region, {Here, There, ...}, Now);
//   if (Spill.share(SpillBoundary::Region) > Random % SpillSteps) ... // may
//
// An answer within the target latency has its full value, so a request stays
// where it came in while that is expected. The share changes in steps, and a
// step needs a view that is newer than the step before, since otherwise all
// entry nodes of a domain would react to the same old views, and again before
// the effect shows.
#ifndef ORIOLEDOOR_ROUTING_DOMAIN_SPILL_H
#define ORIOLEDOOR_ROUTING_DOMAIN_SPILL_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// What a request leaves.
enum class SpillBoundary : std::uint8_t { Domain, Region };
inline constexpr std::size_t SpillBoundaryCount = 2;
const char *boundaryName(SpillBoundary Boundary);

// A share is a number of steps; SpillSteps stands for all requests.
inline constexpr std::uint32_t SpillSteps = 8;

// Expected times to the answer on both sides of a boundary.
struct SpillTimes {
  // Without a value, no target here may be asked: there is none, or all have
  // just refused.
  std::optional<Duration> Here{};
  // With transit and transfer. Without a value, no target may be asked there.
  std::optional<Duration> There{};
  // Round trip to the targets there.
  Duration Transit{0};
  // Target latency of the route; 0 if there is none.
  Duration TargetLatency{0};
  // When the newest of the views arrived that Here is estimated from.
  Instant SeenAt{};
};

// A changed share.
struct SpillStep {
  SpillBoundary Boundary = SpillBoundary::Domain;
  std::uint32_t From = 0;
  std::uint32_t To = 0;
  // The smoothed expected times that caused it.
  Duration Here{0};
  Duration There{0};
};

// Longest expected time for which a request stays; 0 if the route has no target
// latency.
Duration stayLimit(Duration TargetLatency);
// Whether the caller gains by leaving: the answer comes sooner by more than the
// transit, which is then paid for less work at the near targets.
bool gainsByLeaving(const SpillTimes &Times);

// State of one request class. Not thread-safe; all operations take constant
// time.
class DomainSpill {
public:
  // Takes in the estimates of one request. Returns the step that they caused.
  std::optional<SpillStep> observe(SpillBoundary Boundary,
                                   const SpillTimes &Times, Instant Now);
  std::uint32_t share(SpillBoundary Boundary) const {
    return this->Boundaries[static_cast<std::size_t>(Boundary)].Share;
  }

private:
  struct BoundaryState {
    // Invariant: at most SpillSteps.
    std::uint32_t Share = 0;
    // Smoothed times in microseconds; valid if LastAt is set.
    double Here = 0;
    double There = 0;
    std::optional<Instant> LastAt;
    std::optional<Instant> LastStepAt;
    // Direction of the last step, and the time here when it was made; valid if
    // LastStepAt is set.
    bool LastStepUp = false;
    double HereAtStep = 0;
  };

  std::array<BoundaryState, SpillBoundaryCount> Boundaries;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_DOMAIN_SPILL_H
