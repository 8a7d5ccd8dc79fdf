// One node: the ownership and the request reducer with the shells around
// them, in one event loop on one thread.
//
//   auto Started = Node::start(Base, Settings, Log);
//   event_base_dispatch(Base);   // until a stop has completed
//
// The shells turn what arrives into events; the reducers answer with effects,
// which the shells carry out. Events that effects cause are queued behind the
// present one.
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
  // Listens on the settings' endpoints. Errors: kUnavailable with step and
  // address. Base and Log must outlive the node.
  static absl::StatusOr<std::unique_ptr<Node>>
  start(event_base *Base, const Settings &Own, Logger &Log);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  // Starts a graceful stop: the slices move, requests in flight are answered,
  // then the loop exits.
  void requestStop();

private:
  struct Impl;
  explicit Node(std::unique_ptr<Impl> Own);
  std::unique_ptr<Impl> Own;
};

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_NODE_H
