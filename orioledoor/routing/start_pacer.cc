// Due times of starts.
#include "orioledoor/routing/start_pacer.h"

#include <algorithm>
#include <cmath>

namespace orioledoor::routing {
namespace {

// Interval at which a target is tried that accepts no or hardly any requests.
constexpr Duration MaxInterval = std::chrono::seconds(2);

} // namespace

Duration startInterval(double RequestsPerSecond) {
  auto Max = static_cast<double>(MaxInterval.count());
  if (RequestsPerSecond * Max <= 1e6)
    return MaxInterval;
  return Duration(
      static_cast<std::int64_t>(std::ceil(1e6 / RequestsPerSecond)));
}

bool StartPacer::mayStart(Instant Now) const {
  return this->waitFor(0, Now) == Duration(0);
}

void StartPacer::noteStart(Instant Now) {
  if (this->Interval > Duration(0))
    this->NextDueAt = std::max(this->NextDueAt, Now) + this->Interval;
}

Duration StartPacer::waitFor(std::size_t Ahead, Instant Now) const {
  if (this->Interval == Duration(0))
    return Duration(0);
  Instant DueAt = std::max(this->NextDueAt, Now) +
                  this->Interval * static_cast<std::int64_t>(Ahead);
  return std::max(DueAt - this->Burst - Now, Duration(0));
}

} // namespace orioledoor::routing
