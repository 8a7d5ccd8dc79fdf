// Runs functions from the event loop after the current callback has returned.
//
// evhttp may invoke a completion callback inside evhttp_make_request, and a
// connection must not be freed inside its own callback. Both cases go through
// this queue.
//
//   DeferredQueue Later(Base);
//   Later.push([&] { Callback(Reply); });
#ifndef ORIOLEDOOR_STORE_INTERNAL_DEFERRED_QUEUE_H
#define ORIOLEDOOR_STORE_INTERNAL_DEFERRED_QUEUE_H

#include <functional>
#include <vector>

#include "orioledoor/store/internal/libevent_ptr.h"

struct event_base;

namespace orioledoor::internal {

// Not thread-safe. Functions that have not run are dropped with the queue.
class DeferredQueue {
public:
  explicit DeferredQueue(event_base *Base);
  DeferredQueue(const DeferredQueue &) = delete;
  DeferredQueue &operator=(const DeferredQueue &) = delete;

  void push(std::function<void()> Function);

private:
  void run();

  EventPtr Wakeup;
  std::vector<std::function<void()>> Functions;
};

} // namespace orioledoor::internal

#endif // ORIOLEDOOR_STORE_INTERNAL_DEFERRED_QUEUE_H
