// The process around the reducer of the node beside a target: listeners, the
// peer transport, the store client, the clock and the log.
//
//   auto Node = SidecarNode::start(Base, Settings, Log);
//   (*Node)->requestStop();   // for instance from a signal handler event
#ifndef ORIOLEDOOR_SIDECAR_SIDECAR_NODE_H
#define ORIOLEDOOR_SIDECAR_SIDECAR_NODE_H

#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "orioledoor/catalogue/sidecar_settings.h"

struct event_base;

namespace orioledoor {
class Logger;
} // namespace orioledoor

namespace orioledoor::sidecar {

// Not thread-safe; to be used on the thread of its event loop.
class SidecarNode {
public:
  // Opens the listeners and joins the fleet. Base and Log must outlive the
  // node. Errors: kUnavailable if an address cannot be bound.
  static absl::StatusOr<std::unique_ptr<SidecarNode>>
  start(event_base *Base, const SidecarSettings &Settings, Logger &Log);
  ~SidecarNode();
  SidecarNode(const SidecarNode &) = delete;
  SidecarNode &operator=(const SidecarNode &) = delete;

  // Sets a function that reads the settings again and may call reload(). It
  // runs before a report that names another service than the settings is
  // judged, since the settings may have changed without a signal.
  void setSettingsSource(std::function<void()> ReadAgain);

  // Applies a changed settings file. Changed addresses take effect at the next
  // start.
  void reload(const absl::StatusOr<SidecarSettings> &Settings);

  // Starts a graceful stop, which ends the event loop.
  void requestStop();

private:
  struct Impl;
  explicit SidecarNode(std::unique_ptr<Impl> Pimpl);
  std::unique_ptr<Impl> Pimpl;
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_SIDECAR_NODE_H
