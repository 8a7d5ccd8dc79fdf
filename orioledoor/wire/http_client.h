// HTTP client with pooled connections, on evhttp.
//
//   HttpClient Client(Base);
//   std::uint64_t Id = Client.call({.To = {"127.0.0.1", 9000},
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
  // An IP number and a port.
  Endpoint To;
  std::string Method;
  // Path and query.
  std::string Target;
  // The Host header; empty: the address of To.
  std::string Host{};
  std::vector<requests::Header> Headers{};
  // The answer must repeat this header of the request with its value, if it
  // states it at all; another value marks the answer to another request.
  std::string EchoHeader{};
  // Copied by call().
  std::string_view Body{};
  // The call is cancelled when this much time has passed.
  Duration Timeout = std::chrono::seconds(30);
  // The call fails as NotSent if it has no connection by then. Without it the
  // attempt may take as long as the call, and TCP repeats an opening packet
  // that was lost after 1, 2, 4 s and more.
  std::optional<Duration> ConnectTimeout{};
  // No byte is written at or after this time; the call then fails as NotSent.
  std::optional<Instant> NotAfter{};
  // Opens a connection of its own and closes it afterwards.
  bool FreshConnection = false;
};

struct HttpResult {
  // Empty if Answer is whole.
  std::optional<requests::TargetFailure> Failure;
  // For failures: what happened.
  std::string Detail;
  requests::HttpAnswer Answer;
  // From call() to the first byte, which includes opening a connection; empty
  // if no byte was written.
  std::optional<Duration> SentAfter{};
};

struct HttpClientCounters {
  std::uint64_t Calls = 0;
  std::uint64_t Connections = 0;
  std::uint64_t Failures = 0;
};

// Writes to closed connections must not raise SIGPIPE: the process ignores it.
// Not thread-safe: all calls and callbacks happen on the loop's thread.
class HttpClient {
public:
  using Callback = std::function<void(HttpResult Result)>;

  explicit HttpClient(event_base *Base);
  // Open calls end without their callbacks.
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  // Starts a call. Done is called exactly once, never from within call(),
  // unless the call is cancelled.
  std::uint64_t call(const HttpCall &Call, Callback Done);

  // Ends a call without its callback and closes its connection. An unknown Id
  // is ignored.
  void cancel(std::uint64_t Id);

  // Closes idle connections to To, whose server is gone.
  void dropIdle(const Endpoint &To);

  std::size_t openCalls() const;
  const HttpClientCounters &counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Own;
};

} // namespace orioledoor::wire

#endif // ORIOLEDOOR_WIRE_HTTP_CLIENT_H
