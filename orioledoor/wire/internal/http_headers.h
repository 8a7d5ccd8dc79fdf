// Rules about HTTP headers that server and client share.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_HTTP_HEADERS_H
#define ORIOLEDOOR_WIRE_INTERNAL_HTTP_HEADERS_H

#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/requests/http_types.h"

struct evkeyvalq; // NOLINT(readability-identifier-naming)

namespace orioledoor::wire::internal {

// ASCII comparison without regard to case.
bool equalNames(std::string_view Left, std::string_view Right);

// The first header of that name, or null.
const requests::Header *findHeader(const std::vector<requests::Header> &In,
                                   std::string_view Name);

// All end-to-end headers of From: without those of RFC 9110 section 7.6.1,
// those that Connection lists, and the framing and Host, which each hop sets.
std::vector<requests::Header> endToEndHeaders(const evkeyvalq &From);

// Whether the framing headers contradict each other, so that two parsers could
// see two different ends of the message.
bool hasAmbiguousFraming(const evkeyvalq &Headers);

// Adds the headers that may be sent; drops names and values with control
// characters, and framing headers.
void addHeaders(evkeyvalq &To, const std::vector<requests::Header> &Headers);

// The JSON error body of section 7.1 of the design.
std::string errorBody(std::string_view Outcome, std::string_view Step,
                      std::string_view Peer, std::string_view Message);

// The reason phrase of a status.
std::string_view reasonOf(int Status);

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_HTTP_HEADERS_H
