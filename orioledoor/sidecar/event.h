// Events of the node beside a target, as data. The time of each event is passed
// to the reducer with it.
#ifndef ORIOLEDOOR_SIDECAR_EVENT_H
#define ORIOLEDOOR_SIDECAR_EVENT_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "orioledoor/routing/entry.h"
#include "orioledoor/routing/message.h"
#include "orioledoor/routing/target_gate.h"
#include "orioledoor/routing/target_report.h"
#include "orioledoor/routing/target_signals.h"
#include "orioledoor/store/store_types.h"

namespace orioledoor::sidecar {

// The process starts; always the first event.
struct Started {};
struct CallerRequestReceived {
  routing::CallerRequest Request{};
};
struct CallerDisconnected {
  std::uint64_t Caller = 0;
};
struct PeerMessageReceived {
  std::string From{};
  routing::Message Body{};
};
// The Forward with this id was certainly not sent to the node To.
struct ForwardNotSent {
  std::string To{};
  std::uint64_t Id = 0;
};
// The CancelForward with this id was certainly not sent to the node To.
struct CancelNotSent {
  std::string To{};
  std::uint64_t Id = 0;
};
struct PeerConnectionLost {
  std::string Peer{};
};
// The peer sends over a new connection. Messages that it sent over an earlier
// one may be lost.
struct PeerReconnected {
  std::string Peer{};
};
struct TargetAnswered {
  std::uint64_t Call = 0;
  routing::HttpAnswer Answer{};
  // The target states that it did not run the request.
  bool NotRun = false;
  // Empty if the answer may come from another target.
  std::optional<routing::TargetSignals> Signals{};
};
struct TargetFailed {
  std::uint64_t Call = 0;
  routing::CallFailure Failure = routing::CallFailure::Broken;
  std::string Detail{};
};
// A heartbeat report of the target; answered by ReplyToReport or
// RefuseReport with the same id.
struct TargetReportReceived {
  std::uint64_t Id = 0;
  routing::TargetReport Report{};
};
// The target deregistered before it ends.
struct TargetDeregistered {
  std::string Instance{};
  // Time of day on this VM, in Unix milliseconds. The call does not state the
  // start time of the target.
  std::int64_t WallTimeMs = 0;
};
// The reply to ReadConfig.
struct ConfigReadReplied {
  StoreReply Reply{};
};
struct ConfigWatchUpdated {
  StoreWatchUpdate Update{};
};
// A configuration was decoded successfully.
struct ConfigDecoded {
  routing::SharedRouteTable Table{};
  // The node that sent it; empty if it came from the store.
  std::string Node{};
};
struct StoreReplyReceived {
  StoreReply Reply{};
};
struct StoreWatchUpdated {
  StoreWatchUpdate Update{};
};
// Settings that may change while the process runs.
struct SettingsChanged {
  std::string Service{};
};
struct StopRequested {};
// Occurs every 20 ms.
struct TimerTicked {
  // Number of callers to whom parts of answers are still to be sent; only
  // stated while the process stops.
  std::size_t UnsentAnswers = 0;
  // Number of messages that other nodes have not acknowledged; as above.
  std::size_t UndeliveredMessages = 0;
};

using Event = std::variant<
    Started, CallerRequestReceived, CallerDisconnected, PeerMessageReceived,
    ForwardNotSent, CancelNotSent, PeerConnectionLost, PeerReconnected,
    TargetAnswered, TargetFailed, TargetReportReceived, TargetDeregistered,
    ConfigReadReplied, ConfigWatchUpdated, ConfigDecoded, StoreReplyReceived,
    StoreWatchUpdated, SettingsChanged, StopRequested, TimerTicked>;

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_EVENT_H
