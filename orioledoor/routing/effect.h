// Outputs of the request path reducers, as data. The sidecar executes them.
#ifndef ORIOLEDOOR_ROUTING_EFFECT_H
#define ORIOLEDOOR_ROUTING_EFFECT_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "orioledoor/routing/message.h"
#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::routing {

// Sends the final answer to a caller. Caller is the id of the caller's request.
struct ReplyToCaller {
  std::uint64_t Caller = 0;
  HttpAnswer Answer{};
};

// Sends Body to the node with the peer address To; an empty To means all nodes.
struct SendMessage {
  std::string To{};
  Message Body{};
};

// Sends a request to the target on this VM. The sidecar reports the result as
// TargetAnswered or TargetFailed.
struct StartCall {
  std::uint64_t CallId = 0;
  // Instance id that the target must have; any other instance at its address
  // rejects the request.
  std::string Instance{};
  std::string AttemptId{};
  std::string CallerService{};
  std::int32_t Key = NoKey;
  // Deadline that is passed to the target, and timeout of the call.
  Duration TimeLeft{0};
  bool Idempotent = false;
  SharedContent Content{};
};

// Closes the connection of a call. No result is reported for it.
struct CancelCall {
  std::uint64_t CallId = 0;
};

using Effect =
    std::variant<ReplyToCaller, SendMessage, StartCall, CancelCall, LogRecord>;
using Effects = std::vector<Effect>;

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_EFFECT_H
