// Everything that happens to a node beside a target, as data. Instants are
// passed to the reducer with each event.
#ifndef ORIOLEDOOR_SIDECAR_EVENT_H
#define ORIOLEDOOR_SIDECAR_EVENT_H

#include <cstdint>
#include <string>
#include <variant>

#include "orioledoor/routing/entry.h"
#include "orioledoor/routing/message.h"
#include "orioledoor/routing/target_gate.h"
#include "orioledoor/routing/target_report.h"
#include "orioledoor/store/store_types.h"

namespace orioledoor::sidecar {

// The process starts; comes first.
struct Started {};
struct CallerCame {
  routing::CallerRequest Request{};
};
struct CallerWent {
  std::uint64_t Caller = 0;
};
struct PeerSpoke {
  std::string From{};
  routing::Message Body{};
};
// A Forward to To certainly did not leave.
struct ForwardNotSent {
  std::string To{};
  std::uint64_t Id = 0;
};
struct PeerBroke {
  std::string Peer{};
};
struct TargetAnswered {
  std::uint64_t Call = 0;
  routing::HttpAnswer Answer{};
  // The target states that it did not run the request.
  bool NotRun = false;
};
struct TargetFailed {
  std::uint64_t Call = 0;
  routing::CallFailure Failure = routing::CallFailure::Broken;
  std::string Detail{};
};
// A heartbeat; answered with AnswerReport of the same Id.
struct TargetReported {
  std::uint64_t Id = 0;
  routing::TargetReport Report{};
};
// The target announced its end.
struct TargetLeft {
  std::string Instance{};
};
// The reply to ReadConfig.
struct ConfigReplied {
  StoreReply Reply{};
};
struct ConfigWatched {
  StoreWatchUpdate Update{};
};
// A configuration was decoded.
struct ConfigRead {
  routing::SharedRouteTable Table{};
  // The node that sent it; empty if it is from the store.
  std::string Node{};
};
struct StoreReplied {
  StoreReply Reply{};
};
struct StoreWatched {
  StoreWatchUpdate Update{};
};
// Settings that may change while the process runs.
struct SettingsRead {
  std::string Service{};
};
struct StopAsked {};
// Comes every 20 ms.
struct Ticked {};

using Event =
    std::variant<Started, CallerCame, CallerWent, PeerSpoke, ForwardNotSent,
                 PeerBroke, TargetAnswered, TargetFailed, TargetReported,
                 TargetLeft, ConfigReplied, ConfigWatched, ConfigRead,
                 StoreReplied, StoreWatched, SettingsRead, StopAsked, Ticked>;

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_EVENT_H
