// Keeps the smallest clock difference of two windows, so that the estimate
// follows clocks that drift.
#include "orioledoor/routing/transit_delays.h"

#include <algorithm>

namespace orioledoor::routing {
namespace {

// Clocks that differ by 500 ppm drift by 60 ms in two windows.
constexpr Duration WindowLength = std::chrono::minutes(1);
// No message is older than the longest timeout of a caller; a larger difference
// means that the clock of the sender began anew.
constexpr Duration MaxDelay = std::chrono::minutes(1);

} // namespace

std::optional<Duration> TransitDelays::note(std::string_view From,
                                            Instant SentAt, Instant Now) {
  Duration Difference = Now - SentAt;
  auto Found = this->Baselines.find(From);
  bool Known =
      Found != this->Baselines.end() &&
      Difference - std::min(Found->second.Current, Found->second.Previous) <
          MaxDelay;
  if (!Known) {
    this->Baselines.insert_or_assign(std::string(From),
                                     Baseline{Now, Difference, Difference});
    return std::nullopt;
  }
  Baseline &Seen = Found->second;
  if (Now - Seen.WindowStart >= WindowLength) {
    Seen.Previous = Seen.Current;
    Seen.Current = Difference;
    Seen.WindowStart = Now;
  }
  Seen.Current = std::min(Seen.Current, Difference);
  return Difference - std::min(Seen.Current, Seen.Previous);
}

void TransitDelays::remove(std::string_view Node) {
  if (auto Found = this->Baselines.find(Node); Found != this->Baselines.end())
    this->Baselines.erase(Found);
}

} // namespace orioledoor::routing
