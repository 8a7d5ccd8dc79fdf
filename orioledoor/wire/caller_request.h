// Turns a received HTTP request into the event of the request reducer, by the
// rules of section 7.1 of the design.
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

// Leaves CallerId, Elapsed, WallMicros and Random to the caller of this
// function. The headers that the event carries as fields are taken out of the
// request's headers. Errors: kInvalidArgument, with what is wrong;
// kDeadlineExceeded if the stated time is 0.
absl::StatusOr<requests::CallerRequest>
parseCallerRequest(IncomingRequest Incoming);

// "/SERVICE/KEY" and the rest, with the reserved characters of service and key
// percent-encoded.
std::string targetOf(const requests::HttpRequest &Request);

// Resolves %XX. Errors: kInvalidArgument for an incomplete or zero sequence.
absl::StatusOr<std::string> percentDecode(std::string_view Text);

} // namespace orioledoor::wire

#endif // ORIOLEDOOR_WIRE_CALLER_REQUEST_H
