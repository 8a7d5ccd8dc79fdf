// Codec for the headers of callers' requests and of calls to targets.
//
//   routing::CallerRequest Request = decodeCallerRequest(Id, Incoming);
//   wire::HttpCall Call = encodeTargetCall(StartCall);
#ifndef ORIOLEDOOR_PLATFORM_REQUEST_CODEC_H
#define ORIOLEDOOR_PLATFORM_REQUEST_CODEC_H

#include <cstdint>
#include <optional>

#include "orioledoor/routing/effect.h"
#include "orioledoor/routing/entry.h"
#include "orioledoor/routing/target_signals.h"
#include "orioledoor/wire/http_client.h"
#include "orioledoor/wire/http_server.h"

namespace orioledoor::platform {

// Converts a received request. A header that cannot be parsed is treated as
// absent.
routing::CallerRequest decodeCallerRequest(std::uint64_t Caller,
                                           wire::IncomingRequest Incoming);

// Returns the HTTP call for Request without a server and time limits. Its body
// refers to Request.Content.
wire::HttpCall encodeTargetCall(const routing::StartCall &Request);

// Returns whether the target states that it did not run the request.
bool isNotExecuted(const requests::HttpAnswer &Answer);

// Returns what the target signals about itself. Empty for status 421, since
// that response may come from another instance.
std::optional<routing::TargetSignals>
decodeTargetSignals(const requests::HttpAnswer &Answer);

} // namespace orioledoor::platform

#endif // ORIOLEDOOR_PLATFORM_REQUEST_CODEC_H
