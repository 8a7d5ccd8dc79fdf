// HTTP client with pooled connections, based on evhttp.
//
//   HttpClient Client(Base);
//   std::uint64_t Id = Client.call({.Server = {"127.0.0.1", 9000},
//                                   .Method = "GET", .Target = "/health"},
//                                  [](HttpResult Result) {...});
//   Client.cancel(Id);
#ifndef ORIOLEDOOR_WIRE_HTTP_CLIENT_H
#define ORIOLEDOOR_WIRE_HTTP_CLIENT_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/catalogue/settings.h"
#include "orioledoor/requests/event.h"
#include "orioledoor/requests/http_types.h"

struct event_base;

namespace orioledoor::wire {

struct HttpCall {
  // IP address and port of the server.
  Endpoint Server;
  std::string Method;
  // Path and query of the request.
  std::string Target;
  // Value of the Host header; if empty, the address of the server.
  std::string Host{};
  std::vector<requests::Header> Headers{};
  // Name of a request header that identifies the request. A response with
  // another value belongs to another request, and one without the header may be
  // any bytes of a faulty server; the call fails then.
  std::string EchoHeader{};
  // Name of a response header after which the connection is not used again: a
  // server may write such a response twice, and the request may come again.
  std::string FinalHeader{};
  // Copied by call().
  std::string_view Body{};
  // Time after which the call fails as TimedOut.
  Duration Timeout = std::chrono::seconds(30);
  // Time after which the call fails as NotSent if no connection is established.
  // Without it the attempt may take as long as Timeout; TCP retransmits a lost
  // SYN packet after 1, 2, 4 s and so on.
  std::optional<Duration> ConnectTimeout{};
  // No byte is written at or after this time; the call fails as NotSent
  // instead.
  std::optional<Instant> NotAfter{};
  // Uses a new connection and closes it after the call.
  bool FreshConnection = false;
};

struct HttpResult {
  // Empty if Answer is complete.
  std::optional<requests::TargetFailure> Failure;
  // Description of the failure; empty on success.
  std::string Detail;
  requests::HttpAnswer Answer;
  // Time from call() to the first byte written, which includes establishing a
  // connection. Empty if no byte was written.
  std::optional<Duration> SentAfter{};
};

struct HttpClientCounters {
  std::uint64_t Calls = 0;
  std::uint64_t Connections = 0;
  std::uint64_t Failures = 0;
};

// Sends HTTP requests and reports their results through callbacks.
//
// The process must ignore SIGPIPE, which writes to closed connections raise.
//
// Not thread-safe: all calls and callbacks happen on the thread of the event
// loop.
class HttpClient {
public:
  using Callback = std::function<void(HttpResult Result)>;

  explicit HttpClient(event_base *Base);
  // Cancels all open calls; their callbacks are not invoked.
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  // Starts a call and returns its id. OnDone is invoked exactly once unless the
  // call is canceled, and never from within call().
  std::uint64_t call(const HttpCall &Call, Callback OnDone);

  // Cancels a call without invoking its callback and closes its connection. An
  // unknown Id is ignored.
  void cancel(std::uint64_t Id);

  // Closes the idle connections to a server that is gone.
  void closeIdleConnections(const Endpoint &Server);

  std::size_t openCalls() const;
  const HttpClientCounters &counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace orioledoor::wire

#endif // ORIOLEDOOR_WIRE_HTTP_CLIENT_H
