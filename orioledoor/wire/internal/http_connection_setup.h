// What HttpClient sets up for a connection and a request.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_HTTP_CONNECTION_SETUP_H
#define ORIOLEDOOR_WIRE_INTERNAL_HTTP_CONNECTION_SETUP_H

#include <optional>
#include <string_view>

#include <event2/http.h>

namespace orioledoor::wire::internal {

// Empty for methods that evhttp does not know.
std::optional<evhttp_cmd_type> commandOf(std::string_view Method);

// Makes a connected socket send at once and find out by keep-alive probes
// whether its connection went silent.
void tuneConnection(int Descriptor);

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_HTTP_CONNECTION_SETUP_H
