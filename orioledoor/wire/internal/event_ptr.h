// Owning pointer to a libevent event, and conversion of durations to timeval.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_EVENT_PTR_H
#define ORIOLEDOOR_WIRE_INTERNAL_EVENT_PTR_H

#include <memory>

#include <event2/event.h>

namespace orioledoor::wire::internal {

struct EventDeleter {
  void operator()(event *Event) const { event_free(Event); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

// Converts a duration in microseconds to a timeval.
inline timeval toTimeval(std::int64_t Micros) {
  return {static_cast<time_t>(Micros / 1'000'000),
          static_cast<suseconds_t>(Micros % 1'000'000)};
}

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_EVENT_PTR_H
