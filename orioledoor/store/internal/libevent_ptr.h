// Owning pointers for libevent objects.
//
//   EventPtr Timer(evtimer_new(Base, onTimer, this));
#ifndef ORIOLEDOOR_STORE_INTERNAL_LIBEVENT_PTR_H
#define ORIOLEDOOR_STORE_INTERNAL_LIBEVENT_PTR_H

#include <chrono>
#include <memory>

struct event;
struct evhttp_connection;
struct timeval;

namespace orioledoor::internal {

struct LibeventDeleter {
  void operator()(event *Event) const;
  // Frees requests on the connection without invoking their callbacks.
  void operator()(evhttp_connection *Connection) const;
};

using EventPtr = std::unique_ptr<event, LibeventDeleter>;
using ConnectionPtr = std::unique_ptr<evhttp_connection, LibeventDeleter>;

// Starts or restarts the timer Event.
void armTimer(event *Event, std::chrono::microseconds After);

} // namespace orioledoor::internal

#endif // ORIOLEDOOR_STORE_INTERNAL_LIBEVENT_PTR_H
