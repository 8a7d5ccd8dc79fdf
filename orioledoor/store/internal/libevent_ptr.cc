// Releases libevent objects and sets timers.
#include "orioledoor/store/internal/libevent_ptr.h"

#include <event2/event.h>
#include <event2/http.h>
#include <sys/time.h>

namespace orioledoor::internal {

void LibeventDeleter::operator()(event *Event) const { event_free(Event); }

void LibeventDeleter::operator()(evhttp_connection *Connection) const {
  evhttp_connection_free(Connection);
}

void armTimer(event *Event, std::chrono::microseconds After) {
  auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(After);
  timeval Delay{};
  Delay.tv_sec = Seconds.count();
  Delay.tv_usec = (After - Seconds).count();
  evtimer_add(Event, &Delay);
}

} // namespace orioledoor::internal
