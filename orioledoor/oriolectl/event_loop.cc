// Runs one iteration of the loop at a time. A timer bounds each iteration by
// the remaining time.
#include "orioledoor/oriolectl/event_loop.h"

#include <event2/event.h>

namespace orioledoor::ctl {

EventLoop::EventLoop() : Base(event_base_new(), event_base_free) {}

EventLoop::EventLoop(event_base *ExternalBase)
    : Base(ExternalBase, [](event_base *) {}) {}

bool EventLoop::runUntil(const std::function<bool()> &Done, Duration Timeout) {
  Instant Deadline = readClock() + Timeout;
  while (!Done()) {
    Duration Remaining = Deadline - readClock();
    if (Remaining <= Duration::zero())
      return false;
    timeval TimerDelay{.tv_sec = Remaining.count() / 1'000'000,
                       .tv_usec = Remaining.count() % 1'000'000};
    std::unique_ptr<event, void (*)(event *)> Timer(
        evtimer_new(
            this->Base.get(), [](evutil_socket_t, short, void *) {}, nullptr),
        event_free);
    evtimer_add(Timer.get(), &TimerDelay);
    event_base_loop(this->Base.get(), EVLOOP_ONCE);
  }
  return true;
}

void EventLoop::runFor(Duration Time) {
  this->runUntil([] { return false; }, Time);
}

} // namespace orioledoor::ctl
