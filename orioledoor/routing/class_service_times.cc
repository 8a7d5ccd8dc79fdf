// Moving averages by request class.
#include "orioledoor/routing/class_service_times.h"

#include <algorithm>
#include <string>

#include "orioledoor/base/ids.h"
#include "orioledoor/routing/route_table.h"

namespace orioledoor::routing {
namespace {

// Maximum number of classes for one target. A service has two to four routes
// with traffic. Each class adds 8 bytes to every status.
constexpr std::size_t MaxClasses = 8;
// Minimum weight of a new sample. About the last 20 samples count, which is
// roughly one use of each slot.
constexpr double MinSampleWeight = 0.05;
// A measurement without new samples for this long does not describe the
// target's current state: cold starts last 3 s, disruptions 5 to 10 s.
constexpr Duration SampleLifetime = std::chrono::seconds(4);

} // namespace

RequestClassId requestClassOf(std::string_view Service, const Route &Matched) {
  std::string Name(Service);
  Name.append(1, '\0').append(Matched.Host).append(Matched.Prefix);
  return static_cast<RequestClassId>(stableHash(Name));
}

void ClassServiceTimes::note(RequestClassId RequestClass, Duration HoldTime,
                             Instant Now) {
  auto Found = std::ranges::find(this->Measured, RequestClass,
                                 &Measurement::RequestClass);
  if (Found == this->Measured.end()) {
    if (this->Measured.size() >= MaxClasses)
      this->Measured.erase(
          std::ranges::min_element(this->Measured, {}, &Measurement::LastAt));
    this->Measured.push_back({.RequestClass = RequestClass});
    Found = std::prev(this->Measured.end());
  } else if (Now - Found->LastAt > SampleLifetime) {
    *Found = {.RequestClass = RequestClass};
  }
  ++Found->Samples;
  double Weight = std::max(MinSampleWeight, 1.0 / Found->Samples);
  Found->MeanMicros +=
      Weight * (static_cast<double>(HoldTime.count()) - Found->MeanMicros);
  Found->LastAt = Now;
}

Duration ClassServiceTimes::meanOf(RequestClassId RequestClass,
                                   Instant Now) const {
  auto Found = std::ranges::find(this->Measured, RequestClass,
                                 &Measurement::RequestClass);
  if (Found == this->Measured.end() || Now - Found->LastAt > SampleLifetime)
    return Duration(0);
  return Duration(static_cast<std::int64_t>(Found->MeanMicros));
}

std::vector<ClassServiceTime> ClassServiceTimes::recent(Instant Now) const {
  std::vector<ClassServiceTime> Means;
  for (const Measurement &Entry : this->Measured)
    if (Now - Entry.LastAt <= SampleLifetime)
      Means.push_back(
          {Entry.RequestClass, this->meanOf(Entry.RequestClass, Now)});
  return Means;
}

} // namespace orioledoor::routing
