// What the request path asks of its shell, as data.
#ifndef ORIOLEDOOR_ROUTING_EFFECT_H
#define ORIOLEDOOR_ROUTING_EFFECT_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "orioledoor/routing/message.h"
#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::routing {

// Ends the caller's request Caller.
struct ReplyToCaller {
  std::uint64_t Caller = 0;
  HttpAnswer Answer{};
};

// Sends Body to the node at To.
struct SendMessage {
  std::string To{};
  Message Body{};
};

// Calls the target beside this node. TargetAnswered or TargetFailed follows.
struct StartCall {
  std::uint64_t Call = 0;
  // Any other instance at the address refuses the request.
  std::string Instance{};
  std::string AttemptId{};
  std::string CallerService{};
  std::int32_t Key = NoKey;
  // What the target is told, and when the call is given up.
  Duration TimeLeft{0};
  bool Idempotent = false;
  SharedContent Content{};
};

// Closes the connection of a call; nothing follows.
struct CancelCall {
  std::uint64_t Call = 0;
};

using Effect =
    std::variant<ReplyToCaller, SendMessage, StartCall, CancelCall, LogRecord>;
using Effects = std::vector<Effect>;

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_EFFECT_H
