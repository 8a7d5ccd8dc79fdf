// Effects that the reducer asks its shell to execute, as data.
#ifndef ORIOLEDOOR_SIDECAR_EFFECT_H
#define ORIOLEDOOR_SIDECAR_EFFECT_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "orioledoor/routing/effect.h"
#include "orioledoor/routing/route_table.h"
#include "orioledoor/routing/target_report.h"
#include "orioledoor/sidecar/watch_schedule.h"
#include "orioledoor/store/store_types.h"

namespace orioledoor::sidecar {

using routing::CancelCall;
using routing::ReplyToCaller;
using routing::SendMessage;
using routing::StartCall;

struct ReplyToReport {
  std::uint64_t Id = 0;
  routing::ReportAnswer Answer{};
};
// Answers a report that does not come from the target on this VM; its sender
// must not take that for an acknowledgment.
struct RefuseReport {
  std::uint64_t Id = 0;
  std::string Why{};
};
// StoreReplyReceived with the id of the request follows.
struct CallStore {
  StoreRequest Request{};
};
// Watches the entries of nodes for changes after Revision; StoreWatchUpdated
// events follow.
struct WatchStore {
  std::int64_t Revision = 0;
};
// Sets how long the watch waits after a change, to batch further ones.
struct SetWatchPause {
  Duration Pause{0};
};
// ConfigReadReplied follows.
struct ReadConfig {
  StoreRange Range{};
};
// Watches the configuration for changes after Revision; ConfigWatchUpdated
// events follow.
struct WatchConfig {
  std::int64_t Revision = 0;
};
// Sets how long the requests of that watch wait for a change.
struct SetConfigWatchSchedule {
  WatchSchedule Schedule{};
};
// ConfigDecoded follows if the document is a valid configuration.
struct DecodeConfig {
  std::string Document{};
  // The node that sent it; empty if it came from the store.
  std::string Node{};
};
// Applies the caller limits of a configuration that came into force.
struct ApplyLimits {
  routing::CallerLimits Limits{};
};
// Stops accepting new connections of callers; open ones are closed with their
// next answer.
struct StopAccepting {};
// Ends the process.
struct Exit {};

using Effect =
    std::variant<ReplyToCaller, SendMessage, StartCall, CancelCall, LogRecord,
                 ReplyToReport, RefuseReport, CallStore, WatchStore,
                 SetWatchPause, ReadConfig, WatchConfig, SetConfigWatchSchedule,
                 DecodeConfig, ApplyLimits, StopAccepting, Exit>;
using Effects = std::vector<Effect>;

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_EFFECT_H
