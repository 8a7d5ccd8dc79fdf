// Methods and socket options.
#include "orioledoor/wire/internal/http_connection_setup.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace orioledoor::wire::internal {
namespace {

// A connection that went silent is found within three seconds. Whoever has to
// know sooner needs a time limit or a second source: the watches of the store
// have both.
constexpr int KeepAliveSeconds = 1;
constexpr int KeepAliveProbes = 2;

} // namespace

std::optional<evhttp_cmd_type> commandOf(std::string_view Method) {
  static constexpr std::pair<std::string_view, evhttp_cmd_type> Known[] = {
      {"GET", EVHTTP_REQ_GET},         {"POST", EVHTTP_REQ_POST},
      {"PUT", EVHTTP_REQ_PUT},         {"DELETE", EVHTTP_REQ_DELETE},
      {"HEAD", EVHTTP_REQ_HEAD},       {"PATCH", EVHTTP_REQ_PATCH},
      {"OPTIONS", EVHTTP_REQ_OPTIONS},
  };
  const auto *Found = std::ranges::find(
      Known, Method, &std::pair<std::string_view, evhttp_cmd_type>::first);
  if (Found == std::end(Known))
    return std::nullopt;
  return Found->second;
}

void tuneConnection(int Descriptor) {
  auto Set = [Descriptor](int Level, int Name, int Value) {
    setsockopt(Descriptor, Level, Name, &Value, sizeof Value);
  };
  Set(IPPROTO_TCP, TCP_NODELAY, 1);
  Set(SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveSeconds);
  Set(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveSeconds);
  Set(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

} // namespace orioledoor::wire::internal
