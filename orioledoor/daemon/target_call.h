// Builds the HTTP call that sends a request to the target on the node's VM.
#ifndef ORIOLEDOOR_DAEMON_TARGET_CALL_H
#define ORIOLEDOOR_DAEMON_TARGET_CALL_H

#include "orioledoor/wire/http_client.h"

namespace orioledoor::requests {
struct CallTarget;
} // namespace orioledoor::requests

namespace orioledoor::daemon {

// Adds the headers Idempotency-Key (if there is an operation ID), Oriole-Fence
// and Oriole-Timeout-Ms. The result refers to the body of Effect's request,
// which must outlive it.
wire::HttpCall makeTargetCall(const requests::CallTarget &Effect,
                              const Endpoint &Target);

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_TARGET_CALL_H
