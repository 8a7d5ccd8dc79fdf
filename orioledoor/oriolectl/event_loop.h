// The libevent loop of the command line. Commands read top to bottom: they
// start calls and run the loop until the answers are in.
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
  // Uses a loop that is owned elsewhere and outlives this object.
  explicit EventLoop(event_base *Shared);

  event_base *base() const { return this->Base.get(); }

  // Handles events until Done returns true; false if Limit passed before.
  bool runUntil(const std::function<bool()> &Done, Duration Limit);

  // Handles events for Time.
  void pause(Duration Time);

private:
  // Never null.
  std::unique_ptr<event_base, void (*)(event_base *)> Base;
};

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_EVENT_LOOP_H
