// Implements the method table and the socket options.
#include "orioledoor/wire/internal/http_connection_setup.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace orioledoor::wire::internal {
namespace {

// A dead connection is detected within three seconds. A caller that must detect
// it sooner needs a time limit or a second source of information; the watches
// of the store have both.
constexpr int KeepAliveSeconds = 1;
constexpr int KeepAliveProbes = 2;

} // namespace

std::optional<evhttp_cmd_type> parseMethod(std::string_view Method) {
  static constexpr std::pair<std::string_view, evhttp_cmd_type> Methods[] = {
      {"GET", EVHTTP_REQ_GET},         {"POST", EVHTTP_REQ_POST},
      {"PUT", EVHTTP_REQ_PUT},         {"DELETE", EVHTTP_REQ_DELETE},
      {"HEAD", EVHTTP_REQ_HEAD},       {"PATCH", EVHTTP_REQ_PATCH},
      {"OPTIONS", EVHTTP_REQ_OPTIONS},
  };
  const auto *Found = std::ranges::find(
      Methods, Method, &std::pair<std::string_view, evhttp_cmd_type>::first);
  if (Found == std::end(Methods))
    return std::nullopt;
  return Found->second;
}

void configureSocket(int Descriptor) {
  auto SetOption = [Descriptor](int Level, int Name, int Value) {
    setsockopt(Descriptor, Level, Name, &Value, sizeof Value);
  };
  SetOption(IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveSeconds);
  SetOption(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveSeconds);
  SetOption(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

void resetOnClose(int Descriptor) {
  linger Option{.l_onoff = 1, .l_linger = 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Option, sizeof Option);
}

} // namespace orioledoor::wire::internal
