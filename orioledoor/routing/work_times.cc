// Moving averages by request class.
#include "orioledoor/routing/work_times.h"

#include <algorithm>
#include <string>

#include "orioledoor/base/ids.h"
#include "orioledoor/routing/route_table.h"

namespace orioledoor::routing {
namespace {

// Maximum number of classes for one target. A service has two to four routes
// with traffic. Each class adds 8 bytes to every status.
constexpr std::size_t MaxWorks = 8;
// Minimum weight of a new sample. About the last 20 samples count, which is
// roughly one use of each slot.
constexpr double LeastWeight = 0.05;
// A measurement without new samples for this long does not describe the
// target's current state: cold starts last 3 s, disruptions 5 to 10 s.
constexpr Duration Lifetime = std::chrono::seconds(4);

} // namespace

WorkId workOf(std::string_view Service, const Route &Of) {
  std::string Name(Service);
  Name.append(1, '\0').append(Of.Host).append(Of.Prefix);
  return static_cast<WorkId>(stableHash(Name));
}

void WorkTimes::note(WorkId Work, Duration Held, Instant Now) {
  auto Found = std::ranges::find(this->Measured, Work, &Measurement::Work);
  if (Found == this->Measured.end()) {
    if (this->Measured.size() >= MaxWorks)
      this->Measured.erase(
          std::ranges::min_element(this->Measured, {}, &Measurement::LastAt));
    this->Measured.push_back({.Work = Work});
    Found = std::prev(this->Measured.end());
  } else if (Now - Found->LastAt > Lifetime) {
    *Found = {.Work = Work};
  }
  ++Found->Samples;
  double Weight = std::max(LeastWeight, 1.0 / Found->Samples);
  Found->MeanMicros +=
      Weight * (static_cast<double>(Held.count()) - Found->MeanMicros);
  Found->LastAt = Now;
}

Duration WorkTimes::of(WorkId Work, Instant Now) const {
  auto Found = std::ranges::find(this->Measured, Work, &Measurement::Work);
  if (Found == this->Measured.end() || Now - Found->LastAt > Lifetime)
    return Duration(0);
  return Duration(static_cast<std::int64_t>(Found->MeanMicros));
}

std::vector<WorkTime> WorkTimes::recent(Instant Now) const {
  std::vector<WorkTime> Result;
  for (const Measurement &Each : this->Measured)
    if (Now - Each.LastAt <= Lifetime)
      Result.push_back({Each.Work, this->of(Each.Work, Now)});
  return Result;
}

} // namespace orioledoor::routing
