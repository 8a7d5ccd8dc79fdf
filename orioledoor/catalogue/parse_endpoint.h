// Reads and writes endpoints as "IP:PORT".
//
//   std::optional<Endpoint> Store = parseEndpoint("127.0.0.1:2379");
#ifndef ORIOLEDOOR_CATALOGUE_PARSE_ENDPOINT_H
#define ORIOLEDOOR_CATALOGUE_PARSE_ENDPOINT_H

#include <optional>
#include <string>
#include <string_view>

namespace orioledoor {

struct Endpoint;

// Accepts "IPv4:PORT" and "[IPv6]:PORT" that others can connect to; nothing for
// a host name, the wildcard address, port 0 or anything else. Thread-safe.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

// The notation that parseEndpoint() reads.
std::string formatEndpoint(const Endpoint &Value);

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_PARSE_ENDPOINT_H
