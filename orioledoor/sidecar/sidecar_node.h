// The process around the reducer of a node beside a target: listeners, the
// peer transport, the store client, the clock and the log.
//
//   auto Started = SidecarNode::start(Base, Settings, Log);
//   (*Started)->requestStop();   // from a signal's event
#ifndef ORIOLEDOOR_SIDECAR_SIDECAR_NODE_H
#define ORIOLEDOOR_SIDECAR_SIDECAR_NODE_H

#include <memory>

#include "absl/status/statusor.h"
#include "orioledoor/catalogue/sidecar_settings.h"

struct event_base;

namespace orioledoor {
class Logger;
} // namespace orioledoor

namespace orioledoor::sidecar {

// Not thread-safe; lives on its loop's thread.
class SidecarNode {
public:
  // Listens and joins. Base and Log outlive the node. Errors: kUnavailable if
  // an address cannot be bound.
  static absl::StatusOr<std::unique_ptr<SidecarNode>>
  start(event_base *Base, const SidecarSettings &Settings, Logger &Log);
  ~SidecarNode();
  SidecarNode(const SidecarNode &) = delete;
  SidecarNode &operator=(const SidecarNode &) = delete;

  // The settings file changed. Addresses stay until the next start.
  void reload(const absl::StatusOr<SidecarSettings> &Settings);

  // Begins a graceful stop, which ends the loop.
  void requestStop();

private:
  struct Impl;
  explicit SidecarNode(std::unique_ptr<Impl> Own);
  std::unique_ptr<Impl> Own;
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_SIDECAR_NODE_H
