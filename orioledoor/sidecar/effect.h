// What the reducer of a node asks of its shell, as data.
#ifndef ORIOLEDOOR_SIDECAR_EFFECT_H
#define ORIOLEDOOR_SIDECAR_EFFECT_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "orioledoor/routing/effect.h"
#include "orioledoor/routing/route_table.h"
#include "orioledoor/routing/target_report.h"
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
// StoreReplied follows with the id of the request.
struct CallStore {
  StoreRequest Request{};
};
// Watches the entries of nodes from Revision on; StoreWatched follows.
struct WatchStore {
  std::int64_t Revision = 0;
};
// How long the watch pauses after changes came.
struct SetWatchPause {
  Duration Pause{0};
};
// ConfigReplied follows.
struct ReadConfig {
  StoreRange Range{};
};
// Watches the configuration after Revision; ConfigWatched follows.
struct WatchConfig {
  std::int64_t Revision = 0;
};
// ConfigRead follows if the document is a configuration.
struct DecodeConfig {
  std::string Document{};
  // The node that sent it; empty if it is from the store.
  std::string Node{};
};
// A configuration came into force.
struct ApplyLimits {
  routing::CallerLimits Limits{};
};
// Takes no new connections of callers; those that are open end with their
// next answer.
struct StopAccepting {};
// Ends the process.
struct Exit {};

using Effect = std::variant<ReplyToCaller, SendMessage, StartCall, CancelCall,
                            LogRecord, ReplyToReport, CallStore, WatchStore,
                            SetWatchPause, ReadConfig, WatchConfig,
                            DecodeConfig, ApplyLimits, StopAccepting, Exit>;
using Effects = std::vector<Effect>;

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_EFFECT_H
