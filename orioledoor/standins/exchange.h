// One HTTP request that a stand-in serves and its answer, which may be
// complete, streamed, truncated or omitted.
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

// An open connection to the server of a stand-in.
struct ServerConnection {
  // The exchange that is being served; null if there is none.
  Exchange *Current = nullptr;
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Not thread-safe. An exchange that is destroyed without an answer is
// answered with 500.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  // Connection must outlive the exchange, or the server must call closed()
  // first.
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

  // Sends the whole answer. Does nothing after an earlier answer or after the
  // connection has closed.
  void reply(int Code, std::string_view Body, const HeaderList &Headers = {});

  // These send a chunked answer with status 200.
  void startStream();
  void sendChunk(std::string_view Bytes);
  void endStream();

  // Closes the connection without an answer, in a later iteration of the loop.
  void drop();

  // Sends the Content-Length of the whole Body but only its first half, then
  // closes the connection.
  void replyTruncated(int Code, std::string_view Body);

  // Sets a function that runs if the connection closes before the answer is
  // complete.
  void onClosed(std::function<void()> Function);
  bool isClosed() const { return this->Closed; }

  // Called by the server when the connection is closed.
  void closed();

private:
  // Returns the request, which the caller must answer; null after the first
  // call.
  evhttp_request *takeRequest();

  Loop &Events;
  ServerConnection *Connection;
  evhttp_request *Request;
  bool Closed = false;
  bool Streaming = false;
  std::string Method;
  std::string Path;
  std::string Query;
  std::string Body;
  std::function<void()> ClosedHandler;
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_EXCHANGE_H
