// HTTP header handling that the server and the client share.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_HTTP_HEADERS_H
#define ORIOLEDOOR_WIRE_INTERNAL_HTTP_HEADERS_H

#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/requests/http_types.h"

struct evkeyvalq; // NOLINT(readability-identifier-naming)

namespace orioledoor::wire::internal {

// Compares two ASCII strings, ignoring case.
bool equalsIgnoreCase(std::string_view Left, std::string_view Right);

// Returns the first header called Name, or null if there is none.
const requests::Header *findHeader(const std::vector<requests::Header> &Headers,
                                   std::string_view Name);

// Returns the end-to-end headers: all except the hop-by-hop headers of RFC 9110
// section 7.6.1, those listed in Connection, and the framing headers and Host,
// which each hop sets itself.
std::vector<requests::Header> endToEndHeaders(const evkeyvalq &Headers);
std::vector<requests::Header>
endToEndHeaders(std::vector<requests::Header> Headers);

// Returns whether the framing headers are malformed or contradict each other,
// so that two parsers could disagree about the end of the message.
bool hasAmbiguousFraming(const evkeyvalq &Headers);
bool hasAmbiguousFraming(const std::vector<requests::Header> &Headers);

// Adds Headers to Output, except hop-by-hop and framing headers, names that are
// not tokens, and values that contain CR, LF or NUL.
void addHeaders(evkeyvalq &Output,
                const std::vector<requests::Header> &Headers);

// The same for the head of a message as text; appends a line for each header.
void appendHeaders(std::string &Output,
                   const std::vector<requests::Header> &Headers);

// Returns the JSON error body that section 7.1 of the design document defines.
std::string errorBody(std::string_view Outcome, std::string_view Step,
                      std::string_view Peer, std::string_view Message);

// Returns the reason phrase of a status code.
std::string_view reasonPhrase(int Status);

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_HTTP_HEADERS_H
