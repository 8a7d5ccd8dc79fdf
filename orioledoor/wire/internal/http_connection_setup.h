// Conversion of HTTP methods and configuration of sockets for HttpClient.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_HTTP_CONNECTION_SETUP_H
#define ORIOLEDOOR_WIRE_INTERNAL_HTTP_CONNECTION_SETUP_H

#include <optional>
#include <string_view>

#include <event2/http.h>

namespace orioledoor::wire::internal {

// Returns the evhttp command of a method, or nullopt if evhttp does not support
// it.
std::optional<evhttp_cmd_type> parseMethod(std::string_view Method);

// Disables the Nagle algorithm on a connected socket and enables TCP keep-alive
// probes, which detect a dead connection.
void configureSocket(int Descriptor);

// Makes the close of a socket reset its connection, which discards the bytes
// that the peer has not acknowledged. An orderly close would still deliver
// them.
void resetOnClose(int Descriptor);

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_HTTP_CONNECTION_SETUP_H
