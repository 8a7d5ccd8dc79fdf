// Runs the loop one round at a time, with a timer that ends the last round.
#include "orioledoor/oriolectl/event_loop.h"

#include <event2/event.h>

namespace orioledoor::ctl {

EventLoop::EventLoop() : Base(event_base_new(), event_base_free) {}

EventLoop::EventLoop(event_base *Shared) : Base(Shared, [](event_base *) {}) {}

bool EventLoop::runUntil(const std::function<bool()> &Done, Duration Limit) {
  Instant End = readClock() + Limit;
  while (!Done()) {
    Duration Left = End - readClock();
    if (Left <= Duration::zero())
      return false;
    timeval Time{.tv_sec = Left.count() / 1'000'000,
                 .tv_usec = Left.count() % 1'000'000};
    std::unique_ptr<event, void (*)(event *)> Timer(
        evtimer_new(
            this->Base.get(), [](evutil_socket_t, short, void *) {}, nullptr),
        event_free);
    evtimer_add(Timer.get(), &Time);
    event_base_loop(this->Base.get(), EVLOOP_ONCE);
  }
  return true;
}

void EventLoop::pause(Duration Time) {
  this->runUntil([] { return false; }, Time);
}

} // namespace orioledoor::ctl
