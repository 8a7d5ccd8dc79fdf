// HTTP server for callers, targets and operators, on libevent's sockets and the
// parser of Boost.Beast.
//
//   auto Opened = HttpServer::open(Base, {.Listen = {"10.0.0.1", 8000}},
//       {.OnRequest = [](std::uint64_t Id, IncomingRequest Request) {...},
//        .OnDisconnect = [](std::uint64_t Id) {...}});
//   (*Opened)->reply(Id, Answer);
//
// Requests that cannot be parsed are answered by the server with a JSON body
// and status 400, 408 (truncated or too slow), 413, 431 or 501 (unsupported
// method); nothing after them is read. A caller that closes its connection, or
// its sending side, before the response counts as disconnected. If it has done
// so before its first request is read, that request is not handed on.
//
// A caller may send up to 16 requests before the first response. They are
// handed on at once and answered in their order. Nothing is read behind a
// request with "Connection: close", and a response closes the connection only
// if no later request of it was handed on. While 80 KiB of a caller's bytes are
// unread because of these limits, its disconnection shows with the next
// response.
#ifndef ORIOLEDOOR_WIRE_HTTP_SERVER_H
#define ORIOLEDOOR_WIRE_HTTP_SERVER_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/catalogue/settings.h"
#include "orioledoor/requests/http_types.h"

struct event_base;

namespace orioledoor::wire {

// A received request without its hop-by-hop headers.
struct IncomingRequest {
  std::string Method;
  // Path and query as received.
  std::string Target;
  // Value of the Host header; empty if there is none.
  std::string Host{};
  std::vector<requests::Header> Headers;
  std::string Body;
  Instant FirstByteAt;
  bool FromLoopback = false;
};

struct HttpServerOptions {
  Endpoint Listen;
  std::size_t MaxHeaderBytes = 16U << 10;
  std::size_t MaxBodyBytes = 4U << 20;
  // Bytes of the bodies of all requests that are being received or not answered
  // yet. A request that exceeds it gets 503.
  std::size_t MaxHeldBodyBytes = 32U << 20;
  // Time without progress after which a connection is closed.
  std::chrono::seconds IdleTimeout{30};
};

struct HttpServerCallbacks {
  std::function<void(std::uint64_t Id, IncomingRequest Request)> OnRequest;
  // Invoked when the caller disconnected before the response; Id is no longer
  // valid.
  std::function<void(std::uint64_t Id)> OnDisconnect;
};

// Returns the JSON error response that section 7.1 of the design document
// defines, with outcome not-run and the step and the peer of Error.
requests::HttpAnswer errorAnswer(int Status, const absl::Status &Error);

// Accepts HTTP requests and passes them to callbacks, which answer through
// reply().
//
// The process must ignore SIGPIPE, which writes to closed connections raise.
//
// Not thread-safe: all calls and callbacks happen on the thread of the event
// loop.
class HttpServer {
public:
  // Starts to listen on Options.Listen.
  //
  // Errors: kUnavailable if the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<HttpServer>>
  open(event_base *Base, HttpServerOptions Options,
       HttpServerCallbacks Callbacks);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  // Sends the response to a request and returns the time since its first byte
  // arrived. Returns nullopt if Id is no longer valid. May be called from
  // within OnRequest.
  std::optional<Duration> reply(std::uint64_t Id,
                                const requests::HttpAnswer &Answer);

  // Returns the number of requests that were received and not yet answered.
  std::size_t openRequests() const;

  // Returns the number of connections with responses that are not written to
  // their sockets yet. Takes time in proportion to the connections.
  std::size_t unsentConnections() const;

  // Returns the number of requests that the server rejected because they could
  // not be parsed.
  std::uint64_t rejectedRequests() const;

  // Returns the number of requests that were not handed on, since their callers
  // had left before they were read.
  std::uint64_t abandonedRequests() const;

  // Sets the idle timeout of connections that are accepted from now on.
  void setIdleTimeout(std::chrono::seconds Timeout);

  // States that the event loop is running. If this was called once, it must be
  // called every 20 ms: a request that is read more than 100 ms after the last
  // call may have waited for long, and is dropped if its caller has left since.
  // After a delay this applies for as long as the delay took.
  void recordTick(Instant Now);

  // Stops listening and ends keep-alive; open requests are still answered.
  void stopAccepting();

private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> Pimpl);
  std::unique_ptr<Impl> Pimpl;
};

} // namespace orioledoor::wire

#endif // ORIOLEDOOR_WIRE_HTTP_SERVER_H
