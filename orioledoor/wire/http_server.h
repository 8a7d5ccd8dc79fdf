// HTTP server for callers, targets and operators, on evhttp.
//
//   auto Opened = HttpServer::open(Base, {.Listen = {"10.0.0.1", 8000}},
//       {.Received = [](std::uint64_t Id, IncomingRequest Request) {...},
//        .Gone = [](std::uint64_t Id) {...}});
//   (*Opened)->reply(Id, Answer);
//
// Requests that cannot be parsed are answered here with a JSON body: 400, 408
// (truncated or too slow), 413 and 431. A caller that closes its connection,
// or its sending half, before the answer counts as gone.
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

// A request as received, without hop-by-hop headers.
struct IncomingRequest {
  std::string Method;
  // Path and query as sent.
  std::string Target;
  // The Host header; empty if there is none.
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
  // A connection without progress for this long is closed.
  std::chrono::seconds IdleTimeout{30};
};

struct HttpServerCallbacks {
  std::function<void(std::uint64_t Id, IncomingRequest Request)> Received;
  // The caller is gone; Id is no longer valid.
  std::function<void(std::uint64_t Id)> Gone;
};

// The JSON error answer of section 7.1 of the design, outcome not-run, with
// the step and the peer of Error.
requests::HttpAnswer errorAnswer(int Status, const absl::Status &Error);

// Writes to closed connections must not raise SIGPIPE: the process ignores it.
// Not thread-safe: all calls and callbacks happen on the loop's thread.
class HttpServer {
public:
  // Errors: kUnavailable if the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<HttpServer>>
  open(event_base *Base, HttpServerOptions Options,
       HttpServerCallbacks Callbacks);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  // Ends a request and returns the time since its first byte arrived. An Id
  // that is gone is ignored. May be called from within Received.
  std::optional<Duration> reply(std::uint64_t Id,
                                const requests::HttpAnswer &Answer);

  // Requests received and not yet answered.
  std::size_t openRequests() const;

  // Requests answered here because they could not be parsed.
  std::uint64_t refusedRequests() const;

  // For connections that are accepted from now on.
  void setIdleTimeout(std::chrono::seconds Timeout);

  // Ends listening and keep-alive; open requests are still answered.
  void stopAccepting();

private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> Own);
  std::unique_ptr<Impl> Own;
};

} // namespace orioledoor::wire

#endif // ORIOLEDOOR_WIRE_HTTP_SERVER_H
