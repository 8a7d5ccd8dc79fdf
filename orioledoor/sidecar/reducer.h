// The deterministic core of a node beside a target: one reducer over all
// events, with effects as data. It composes the entry side and the gate of the
// request path, the membership and the keys.
//
//   SidecarReducer Node(Options);
//   for (Effect &Each : Node.handle(Started{}, Now)) ... // carry it out
#ifndef ORIOLEDOOR_SIDECAR_REDUCER_H
#define ORIOLEDOOR_SIDECAR_REDUCER_H

#include <cstdint>
#include <optional>
#include <string>

#include "orioledoor/routing/entry.h"
#include "orioledoor/routing/target_directory.h"
#include "orioledoor/routing/target_gate.h"
#include "orioledoor/sidecar/config_follower.h"
#include "orioledoor/sidecar/effect.h"
#include "orioledoor/sidecar/event.h"
#include "orioledoor/sidecar/key_ownership_manager.h"
#include "orioledoor/sidecar/membership.h"

namespace orioledoor::sidecar {

struct SidecarOptions {
  // Peer address of this node.
  std::string Node;
  // Differs between any two processes.
  std::uint64_t Process = 0;
  routing::Location Place;
  // The service of the target on this VM, until the target reports.
  std::string Service;
  Duration DrainTime = std::chrono::seconds(2);
  Duration StopGrace = std::chrono::seconds(6);
  // The link of this VM; 0: not known.
  double LinkBytesPerSecond = 0;
  // Store key of the operator's configuration.
  std::string ConfigKey;
  // Over the whole fleet, in one window.
  double RetryRatio = 0.2;
  double RetryExtra = 60;
  Duration RetryWindow = std::chrono::seconds(10);
  KeyOwnershipOptions Keys;
  MembershipOptions Members;
};

// Not thread-safe; no clock, socket or random source.
class SidecarReducer {
public:
  explicit SidecarReducer(SidecarOptions Options);

  Effects handle(Event Happened, Instant Now);

  // Callers may send requests here.
  bool ready() const;
  const routing::TargetGate &gate() const { return this->Gate; }
  const routing::EntryReducer &entry() const { return this->Entry; }
  const Membership &membership() const { return this->Members; }

private:
  // A report whose answer waits for keys that are on their way.
  struct DeferredReport {
    TargetReportReceived Report;
    Instant Until;
  };

  void on(Started, Instant Now);
  void on(CallerRequestReceived Came, Instant Now);
  void on(CallerDisconnected Went, Instant Now);
  void on(PeerMessageReceived Spoke, Instant Now);
  void on(const ForwardNotSent &NotSent, Instant Now);
  void on(PeerConnectionLost Broke, Instant Now);
  void on(TargetAnswered Answered, Instant Now);
  void on(const TargetFailed &Failed, Instant Now);
  void on(TargetReportReceived Reported, Instant Now);
  void on(const TargetDeregistered &Left, Instant Now);
  void on(const ConfigReadReplied &Replied, Instant Now);
  void on(const ConfigWatchUpdated &Watched, Instant Now);
  void on(ConfigDecoded Read, Instant Now);
  void on(const StoreReplyReceived &Replied, Instant Now);
  void on(const StoreWatchUpdated &Watched, Instant Now);
  void on(SettingsChanged Read, Instant Now);
  void on(StopRequested, Instant Now);
  void on(TimerTicked, Instant Now);

  void receive(const std::string &From, routing::Message Body, Instant Now);
  void take(ConfigActions Step);
  // Says in requests and results which configuration is in force here.
  void setConfigVersion(routing::Message &Body) const;
  // From has this version of the configuration in force.
  void onPeerConfigVersion(const std::string &From, std::uint64_t Version,
                           Instant Now);
  // How long bytes hold this VM's link; 0 if its rate is not known.
  Duration transferTime(std::size_t Bytes) const;
  void sendConfig(const std::string &To, const routing::FetchConfig &Asked,
                  Instant Now);
  // Joins Path and Out, delivering this node's messages to itself.
  void settle(Instant Now);
  void route(Effect Asked, Instant Now, Effects &Done);
  void take(MembershipOutput Output, Instant Now);
  // Tells the fleet if the target or its state changed.
  void publish(Instant Now);
  void ownersChanged(Instant Now);
  void updateDirectory(Instant Now);
  // Answers the report that is held back if there is no more reason to.
  void answerDeferredReport(Instant Now);
  void advanceShutdown(Instant Now);
  void updateWatchPause();
  bool isPartitioned(std::string_view Service) const;

  SidecarOptions Options;
  routing::TargetDirectory Directory;
  ConfigFollower Config;
  // When the link has room for another configuration to a node.
  Instant ConfigSendAt;
  Membership Members;
  KeyOwnershipManager Keys;
  routing::TargetGate Gate;
  routing::EntryReducer Entry;
  // Of the event being handled.
  Effects Out;
  routing::Effects Path;
  routing::TargetRef PublishedTarget;
  routing::TargetState PublishedState = routing::TargetState::Absent;
  routing::TargetRef Ended;
  Instant ReportedAt;
  std::optional<DeferredReport> Held;
  Instant StopRequestedAt;
  // While stopping: when a request was open last.
  Instant LastBusyAt;
  // The pace that the shell was told last.
  Duration WatchPause{0};
  bool Closed = false;
  bool Exited = false;
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_REDUCER_H
