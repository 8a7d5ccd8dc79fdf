// One HTTP request that a stand-in serves, with its answer whole, streamed,
// truncated or missing.
//
//   Call->onClosed([&] { cancel(); });
//   Call->reply(200, R"({"key":"font-17"})");
#ifndef ORIOLEDOOR_STANDINS_EXCHANGE_H
#define ORIOLEDOOR_STANDINS_EXCHANGE_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace orioledoor::standins {

class Exchange;
class Loop;

// A connection to a stand-in's server, as long as it is open.
struct ServerConnection {
  // The exchange that is being served, if any.
  Exchange *Current = nullptr;
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Not thread-safe. An exchange that is destroyed without an answer is
// answered with 500.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  // Connection outlives the exchange unless it calls closed().
  Exchange(Loop &Events, ServerConnection &Connection, evhttp_request *Request);
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  std::string_view method() const { return this->Method; }
  // Without the query, still percent-encoded.
  std::string_view path() const { return this->Path; }
  // Without the question mark; empty if there is none.
  std::string_view query() const { return this->Query; }
  std::string_view body() const { return this->Body; }
  // Empty if the request has no such header.
  std::string header(std::string_view Name) const;

  // Calls after the answer, or after the connection was closed, do nothing.
  void reply(int Code, std::string_view Body, const HeaderList &Headers = {});

  // A chunked answer with status 200.
  void startStream();
  void sendChunk(std::string_view Bytes);
  void endStream();

  // Closes the connection without an answer, soon after this call.
  void drop();

  // Announces the whole Body, sends half of it and closes the connection.
  void replyTruncated(int Code, std::string_view Body);

  // Function runs if the connection is closed before the answer is complete.
  void onClosed(std::function<void()> Function);
  bool isClosed() const { return this->Closed; }

  // Called by the server when the connection is closed.
  void closed();

private:
  // The request, which the caller must answer; null after the first call.
  evhttp_request *take();

  Loop &Events;
  ServerConnection *Connection;
  evhttp_request *Request;
  bool Closed = false;
  bool Streaming = false;
  std::string Method;
  std::string Path;
  std::string Query;
  std::string Body;
  std::function<void()> ClosedFunction;
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_EXCHANGE_H
