// Spreads the requests with which the nodes watch the configuration over time.
// A store can lose all waiting requests without a sign, and then only a node
// whose request ends learns of a change. It tells the others, so it is enough
// that some node's request always ends soon.
//
//   WatchSchedule Schedule = scheduleConfigWatch(Rank, Nodes);
#ifndef ORIOLEDOOR_SIDECAR_WATCH_SCHEDULE_H
#define ORIOLEDOOR_SIDECAR_WATCH_SCHEDULE_H

#include <cstddef>

#include "orioledoor/base/instant.h"

namespace orioledoor::sidecar {

// How long the requests of a watch wait at the store for a change.
struct WatchSchedule {
  // Wait of the first request, of each that follows a change or a failure, and
  // once after Interval has changed: all nodes send these at the same time. At
  // most Interval.
  Duration First{0};
  // Wait of a request that follows one which ended without a change.
  Duration Interval{0};

  bool operator==(const WatchSchedule &) const = default;
};

// Returns the schedule of the node that Rank others of a fleet of Nodes precede
// in the order of their addresses. The fleet sends about two requests per
// second, or one per node and MaxWatchInterval if that is more. Constant.
WatchSchedule scheduleConfigWatch(std::size_t Rank, std::size_t Nodes);

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_WATCH_SCHEDULE_H
