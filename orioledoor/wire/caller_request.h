// Converts a received HTTP request to the event of the request reducer, by the
// rules of section 7.1 of the design document.
//
//   absl::StatusOr<requests::CallerRequest> Parsed =
//       parseCallerRequest(std::move(Incoming));
#ifndef ORIOLEDOOR_WIRE_CALLER_REQUEST_H
#define ORIOLEDOOR_WIRE_CALLER_REQUEST_H

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "orioledoor/requests/event.h"

namespace orioledoor::wire {

struct IncomingRequest;

// Parses the path and the Oriole headers. Headers that become fields of the
// event are removed from the headers of the request. The caller of this
// function sets CallerId, Elapsed, WallMicros and Random.
//
// Errors: kInvalidArgument for a malformed request; kDeadlineExceeded if the
// stated timeout is 0.
absl::StatusOr<requests::CallerRequest>
parseCallerRequest(IncomingRequest Incoming);

// Returns the HTTP request target "/SERVICE/KEY" followed by the remaining
// path, with the reserved characters of service and key percent-encoded.
std::string requestTarget(const requests::HttpRequest &Request);

// Decodes percent-encoded bytes.
//
// Errors: kInvalidArgument for an incomplete sequence or an encoded NUL byte.
absl::StatusOr<std::string> percentDecode(std::string_view Text);

} // namespace orioledoor::wire

#endif // ORIOLEDOOR_WIRE_CALLER_REQUEST_H
