// Waits by the number of nodes and the position among them.
#include "orioledoor/sidecar/watch_schedule.h"

#include <algorithm>

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;

// Time within which some node's request ends. A configuration must be in force
// 2 s after its acknowledgement on nodes that have been connected to the store
// for 3 s; the detection of a lost request takes a second of that.
constexpr Duration FleetInterval = milliseconds(500);
// Each request counts as a read. The upper bound keeps the requested revision
// within the store's history of 20 s.
constexpr Duration MinWatchInterval = milliseconds(1000);
constexpr Duration MaxWatchInterval = milliseconds(10'000);

} // namespace

WatchSchedule scheduleConfigWatch(std::size_t Rank, std::size_t Nodes) {
  auto Count = static_cast<std::int64_t>(std::max<std::size_t>(Nodes, 1));
  // A node whose own entry is missing may have a rank beyond the count.
  auto Position = static_cast<std::int64_t>(Rank) % Count + 1;
  Duration Interval =
      std::clamp(FleetInterval * Count, MinWatchInterval, MaxWatchInterval);
  return {.First = Interval * Position / Count, .Interval = Interval};
}

} // namespace orioledoor::sidecar
