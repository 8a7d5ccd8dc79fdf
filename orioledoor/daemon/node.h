// One node: the ownership reducer and the request reducer with their I/O
// components, on one event loop in one thread.
//
//   auto Started = Node::start(Base, NodeSettings, Log);
//   event_base_dispatch(Base);   // returns after a graceful stop
//
// The I/O components convert messages, requests and timers to events. The
// reducers return effects, which the I/O components execute. Events that result
// from effects are queued until the current event is handled.
#ifndef ORIOLEDOOR_DAEMON_NODE_H
#define ORIOLEDOOR_DAEMON_NODE_H

#include <memory>

#include "absl/status/statusor.h"

struct event_base;

namespace orioledoor {
class Logger;
struct Settings;
} // namespace orioledoor

namespace orioledoor::daemon {

// Not thread-safe.
class Node {
public:
  // Starts a node that listens on the endpoints of the settings. Errors:
  // kUnavailable with the failed step and the address. Base and Log must
  // outlive the node.
  static absl::StatusOr<std::unique_ptr<Node>>
  start(event_base *Base, const Settings &NodeSettings, Logger &Log);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  // Starts a graceful stop: the slices move to other nodes and requests in
  // flight are answered; then the event loop exits. Further calls have no
  // effect.
  void requestStop();

private:
  struct Impl;
  explicit Node(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> State;
};

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_NODE_H
