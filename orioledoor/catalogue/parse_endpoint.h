// Parses and formats endpoints as "IP:PORT".
//
//   std::optional<Endpoint> Store = parseEndpoint("127.0.0.1:2379");
#ifndef ORIOLEDOOR_CATALOGUE_PARSE_ENDPOINT_H
#define ORIOLEDOOR_CATALOGUE_PARSE_ENDPOINT_H

#include <optional>
#include <string>
#include <string_view>

namespace orioledoor {

struct Endpoint;

// Parses "IPv4:PORT" or "[IPv6]:PORT". Returns nothing for addresses to which
// no peer can connect (the wildcard address, port 0), for host names and for
// any other text. Thread-safe.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

// Formats Value in the notation that parseEndpoint() accepts.
std::string formatEndpoint(const Endpoint &Value);

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_PARSE_ENDPOINT_H
