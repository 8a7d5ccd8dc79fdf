// Deterministic core of the node beside a target: a reducer that maps each
// event to effects, both represented as data. It combines the entry side and
// the target gate of the request path with the membership and the key
// ownership.
//
//   SidecarReducer Reducer(Options);
//   for (Effect &NewEffect : Reducer.handle(Started{}, Now))
//     ... // execute it
#ifndef ORIOLEDOOR_SIDECAR_REDUCER_H
#define ORIOLEDOOR_SIDECAR_REDUCER_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "orioledoor/routing/entry.h"
#include "orioledoor/routing/target_directory.h"
#include "orioledoor/routing/target_gate.h"
#include "orioledoor/routing/transit_delays.h"
#include "orioledoor/sidecar/config_follower.h"
#include "orioledoor/sidecar/effect.h"
#include "orioledoor/sidecar/event.h"
#include "orioledoor/sidecar/key_ownership_manager.h"
#include "orioledoor/sidecar/membership.h"
#include "orioledoor/sidecar/store_era.h"
#include "orioledoor/sidecar/watch_schedule.h"

namespace orioledoor::sidecar {

struct SidecarOptions {
  // Peer address of this node.
  std::string Node;
  // Process id, unique across all processes of the fleet.
  std::uint64_t Process = 0;
  routing::Location Place;
  // Service and address of the target on this VM, as the settings name them.
  // Requests that begin here bear this service, and reports of a target must
  // name both.
  std::string Service;
  std::string TargetAddress;
  Duration DrainTime = std::chrono::seconds(2);
  Duration StopGrace = std::chrono::seconds(6);
  // Bandwidth of this VM's link; 0 if it is not known.
  double LinkBytesPerSecond = 0;
  // Prefix of the operator's store keys.
  std::string OperatorPrefix;
  // As in TargetGateOptions.
  std::uint64_t AnswerMemoryBytes = 0;
  // Retry budget of the whole fleet for one window: a share of the requests and
  // a constant number of extra retries.
  double RetryRatio = 0.2;
  double RetryExtra = 60;
  Duration RetryWindow = std::chrono::seconds(10);
  // As in TargetGateOptions.
  double ColdOverage = 0;
  double ColdSlack = 0;
  Duration EvacuationTime{0};
  KeyOwnershipOptions Keys;
  MembershipOptions Members;
};

// Not thread-safe. Uses no clock, socket or random source.
class SidecarReducer {
public:
  explicit SidecarReducer(SidecarOptions Options);

  Effects handle(Event NewEvent, Instant Now);

  // Returns whether callers may send requests to this node.
  bool ready() const;
  const routing::TargetGate &gate() const { return this->Gate; }
  const routing::EntryReducer &entry() const { return this->Entry; }
  const Membership &membership() const { return this->Members; }
  const routing::TargetDirectory &directory() const { return this->Directory; }
  // Returns the service of this VM, as the settings name it.
  const std::string &service() const { return this->Options.Service; }
  // Returns whether a graceful stop was requested.
  bool isStopping() const { return this->StopRequestedAt != Instant(); }
  // Number of messages of other nodes whose delay was logged.
  std::uint64_t delayedMessages() const { return this->DelayedMessages; }
  // Number of times that the store came back from an older copy.
  std::uint64_t storeEraChanges() const { return this->StoreEraChanges; }
  std::uint64_t keyMapRepairs() const { return this->Keys.repairs(); }
  // Number of reports that did not come from the target on this VM.
  std::uint64_t refusedReports() const { return this->RefusedReports; }
  // The failure domains that the operator evacuates.
  const DomainNames &evacuatedDomains() const {
    return this->Config.evacuatedDomains();
  }

private:
  // A report whose answer is delayed until keys arrive, at most until Until.
  struct DeferredReport {
    TargetReportReceived Report;
    Instant Until;
  };

  void on(Started, Instant Now);
  void on(CallerRequestReceived Received, Instant Now);
  void on(CallerDisconnected Disconnected, Instant Now);
  void on(PeerMessageReceived Received, Instant Now);
  void on(const ForwardNotSent &NotSent, Instant Now);
  void on(const CancelNotSent &NotSent, Instant Now);
  void on(PeerConnectionLost Lost, Instant Now);
  void on(const PeerReconnected &Reconnected, Instant Now);
  void on(TargetAnswered Answered, Instant Now);
  void on(const TargetFailed &Failed, Instant Now);
  void on(TargetReportReceived Received, Instant Now);
  void on(const TargetDeregistered &Deregistered, Instant Now);
  void on(ConfigReadReplied Replied, Instant Now);
  void on(const ConfigWatchUpdated &Watched, Instant Now);
  void on(ConfigDecoded Decoded, Instant Now);
  void on(StoreReplyReceived Replied, Instant Now);
  void on(StoreWatchUpdated Watched, Instant Now);
  void on(SettingsChanged Changed, Instant Now);
  void on(StopRequested, Instant Now);
  void on(const TimerTicked &Ticked, Instant Now);

  // Returns why a report can't come from the target on this VM, or an empty
  // string if it can.
  std::string_view mismatchOf(const routing::TargetReport &Report) const;
  void receiveMessage(const std::string &From, routing::Message Body,
                      Instant Now);
  void apply(ConfigActions Actions, Instant Now);
  // Applies the evacuated failure domains.
  void on(const EvacuationsChanged &Changed, Instant Now);
  // Node From states this about its target.
  void noteEvacuatedTarget(const routing::TargetStatus &Status, Instant Now);
  // Logs regions and evacuated failure domains that no known node is in, each
  // of them once.
  void reportUnknownPlaces(Instant Now);
  // Sets the version of the configuration in force in outgoing requests and
  // results, and the time of sending.
  void stampMessage(routing::Message &Body, Instant Now) const;
  // Returns for how long this process has handled no event, or 0 if that is
  // normal.
  Duration standstill(Instant Now) const;
  // Returns how late a message from another node arrives, and logs long delays.
  Duration recordArrival(const std::string &From, Instant SentAt, Instant Now);
  // Reminds node From, which takes its target for ready, that the target is
  // leaving, if that is known here.
  void remindOfLeaving(const std::string &From,
                       const routing::TargetRef &Target,
                       routing::TargetState Claimed, Instant Now);
  // Reminds a node that has joined of the leaving targets beside it, before a
  // late report of one of them can make it ready.
  void remindOfDepartures(const NodeEntry &Joined, Instant Now);
  // Handles the information that node From has this version of the
  // configuration in force.
  void onPeerConfigVersion(const std::string &From, std::uint64_t Version,
                           Instant Now);
  // Returns how long this VM's link needs to send the bytes; 0 if its bandwidth
  // is not known.
  Duration transferTime(std::size_t Bytes) const;
  void sendConfig(const std::string &To, const routing::FetchConfig &Request,
                  Instant Now);
  // Sends the key map to a node whose request was for a key that the target
  // does not hold, if the node lacks it.
  void sendKeyMap(const std::string &To, const routing::Forward &Request,
                  Instant Now);
  // Collects the effects of Out and RoutingEffects and delivers messages that
  // this node sent to itself.
  void deliverEffects(Instant Now);
  void routeEffect(Effect NewEffect, Instant Now, Effects &Delivered);
  void apply(MembershipOutput Output, Instant Now);
  // Publishes the state of the target to the fleet if it changed.
  void publishStatus(Instant Now);
  void onOwnersChanged(Instant Now);
  void updateDirectory(Instant Now);
  // Sets EndedTarget once a target, of this process or an earlier one, has been
  // silent for so long that it holds no keys.
  void updateEndedTarget(Instant Now);
  // Answers the deferred report if there is no reason to wait any longer.
  void answerDeferredReport(Instant Now);
  void advanceShutdown(const TimerTicked &Ticked, Instant Now);
  void updateWatches();
  // Handles the era of an answer of the store before the answer itself. Returns
  // whether the answer counts.
  bool admitStoreAnswer(const absl::Status &Status, std::int64_t AnswerEra,
                        Instant Now);
  bool isPartitioned(std::string_view Service) const;
  // Returns whether a target of the service in this region can be given keys.
  bool mayHoldKeys(std::string_view Service) const;

  SidecarOptions Options;
  routing::TargetDirectory Directory;
  ConfigFollower Config;
  // Time from which the link may carry another configuration to a node.
  Instant ConfigSendAt;
  // The same for key maps.
  Instant KeyMapSendAt;
  StoreEra Era;
  std::uint64_t StoreEraChanges = 0;
  Membership Members;
  routing::TransitDelays Delays;
  // Number of messages that arrived late.
  std::uint64_t DelayedMessages = 0;
  std::uint64_t RefusedReports = 0;
  KeyOwnershipManager Keys;
  routing::TargetGate Gate;
  routing::EntryReducer Entry;
  // Effects of the event that is being handled.
  Effects Out;
  routing::Effects RoutingEffects;
  routing::TargetRef PublishedTarget;
  routing::TargetState PublishedState = routing::TargetState::Absent;
  routing::TargetRef EndedTarget;
  // The owners of keys changed since EndedTarget was taken from them.
  bool OwnersChanged = true;
  Instant StartedAt;
  Instant ReportedAt;
  Instant LastTickAt;
  // The tick before that.
  Instant PreviousTickAt;
  // Time at which the process went on after its last standstill.
  Instant StandstillEndedAt;
  // Failure domains and regions that were logged as unknown, and the version of
  // the configuration whose regions they are.
  std::set<std::string, std::less<>> UnknownDomains;
  std::set<std::string, std::less<>> UnknownRegions;
  std::uint64_t UnknownRegionsVersion = 0;
  Instant NextPlaceCheckAt;
  // The standstill since the last tick is known to the gate.
  bool StandstillHandled = false;
  std::optional<DeferredReport> Deferred;
  Instant StopRequestedAt;
  // Requests that arrive from then on are refused.
  Instant RefuseFrom;
  // While stopping: the last time at which a request was open.
  Instant LastBusyAt;
  // The pause and the schedule that were last passed to the shell.
  Duration WatchPause{0};
  WatchSchedule ConfigWatch;
  bool AcceptStopped = false;
  bool ExitRequested = false;
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_REDUCER_H
