// A queue of functions behind one manually activated libevent event.
#include "orioledoor/store/internal/deferred_queue.h"

#include <event2/event.h>

#include <utility>

namespace orioledoor::internal {

DeferredQueue::DeferredQueue(event_base *Base)
    : Wakeup(event_new(
          Base, -1, 0,
          [](evutil_socket_t, short, void *Self) {
            static_cast<DeferredQueue *>(Self)->run();
          },
          this)) {}

void DeferredQueue::push(std::function<void()> Function) {
  this->Functions.push_back(std::move(Function));
  event_active(this->Wakeup.get(), EV_TIMEOUT, 0);
}

void DeferredQueue::run() {
  // Functions pushed meanwhile run in the next turn of the loop.
  auto Batch = std::exchange(this->Functions, {});
  for (auto &Function : Batch)
    Function();
}

} // namespace orioledoor::internal
