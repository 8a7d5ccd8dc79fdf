// The HTTP call that carries a request to the target beside the node.
#ifndef ORIOLEDOOR_DAEMON_TARGET_CALL_H
#define ORIOLEDOOR_DAEMON_TARGET_CALL_H

#include "orioledoor/wire/http_client.h"

namespace orioledoor::requests {
struct CallTarget;
} // namespace orioledoor::requests

namespace orioledoor::daemon {

// Adds the headers Idempotency-Key, Oriole-Fence and Oriole-Timeout-Ms. The
// result refers to the body of Effect's request.
wire::HttpCall targetCall(const requests::CallTarget &Effect,
                          const Endpoint &Target);

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_TARGET_CALL_H
