// The libevent loop of the command line. Lets commands be written as sequential
// code: a command starts asynchronous calls and runs the loop until the
// responses have arrived.
//
//   EventLoop Loop;
//   Loop.runUntil([&] { return Answered; }, std::chrono::seconds(2));
#ifndef ORIOLEDOOR_ORIOLECTL_EVENT_LOOP_H
#define ORIOLEDOOR_ORIOLECTL_EVENT_LOOP_H

#include <functional>
#include <memory>

#include "orioledoor/base/instant.h"

struct event_base;

namespace orioledoor::ctl {

// Not thread-safe.
class EventLoop {
public:
  EventLoop();
  // Uses ExternalBase without taking ownership; it must outlive this object.
  explicit EventLoop(event_base *ExternalBase);

  event_base *base() const { return this->Base.get(); }

  // Handles events until Done returns true. Returns false if Timeout expires
  // first.
  bool runUntil(const std::function<bool()> &Done, Duration Timeout);

  // Handles events for the duration Time.
  void runFor(Duration Time);

private:
  // Never null. The deleter does nothing if the base is owned externally.
  std::unique_ptr<event_base, void (*)(event_base *)> Base;
};

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_EVENT_LOOP_H
