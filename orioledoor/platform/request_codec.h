// Requests of callers and calls of targets: which headers mean what.
//
//   routing::CallerRequest Request = decodeCallerRequest(Id, Incoming);
//   wire::HttpCall Call = encodeTargetCall(StartCall);
#ifndef ORIOLEDOOR_PLATFORM_REQUEST_CODEC_H
#define ORIOLEDOOR_PLATFORM_REQUEST_CODEC_H

#include <cstdint>

#include "orioledoor/routing/effect.h"
#include "orioledoor/routing/entry.h"
#include "orioledoor/wire/http_client.h"
#include "orioledoor/wire/http_server.h"

namespace orioledoor::platform {

// A header that cannot be read counts as absent.
routing::CallerRequest decodeCallerRequest(std::uint64_t Caller,
                                           wire::IncomingRequest Incoming);

// Without its destination and time limit. The body is that of Asked.Content.
wire::HttpCall encodeTargetCall(const routing::StartCall &Asked);

// The target says that it has not run the request.
bool isNotExecuted(const requests::HttpAnswer &Answer);

} // namespace orioledoor::platform

#endif // ORIOLEDOOR_PLATFORM_REQUEST_CODEC_H
