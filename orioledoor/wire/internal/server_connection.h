// A caller's connection to HttpServer: reads requests, holds their responses
// until it is their turn, and ends the connection.
//
// Requests are handed on as they arrive, also while earlier ones are open, up
// to limits. Responses are sent in the order of the requests. A response only
// closes the connection if no request after it was handed on: callers send
// requests behind a closing response again, whatever their kind.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_SERVER_CONNECTION_H
#define ORIOLEDOOR_WIRE_INTERNAL_SERVER_CONNECTION_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include <event2/bufferevent.h>

#include "orioledoor/base/instant.h"
#include "orioledoor/requests/http_types.h"
#include "orioledoor/wire/internal/request_parser.h"

namespace orioledoor::wire {
struct IncomingRequest;
} // namespace orioledoor::wire

namespace orioledoor::wire::internal {

class ServerConnection;

struct BuffereventDeleter {
  void operator()(bufferevent *Stream) const { bufferevent_free(Stream); }
};

// What a connection needs from its server.
class ServerConnectionOwner {
public:
  // Returns the id of a new request.
  virtual std::uint64_t addRequest(ServerConnection &Connection) = 0;
  // Hands a request on. May call respond() of the connection.
  virtual void handleRequest(std::uint64_t Id, IncomingRequest Request) = 0;
  // Counts bytes of a body. Returns whether the server has memory for them.
  virtual bool holdBodyBytes(std::size_t Bytes) = 0;
  // The body of this many bytes is no longer held.
  virtual void releaseBodyBytes(std::size_t Bytes) = 0;
  // A request was answered by the connection itself, since it is malformed,
  // incomplete or too slow.
  virtual void recordRejection() = 0;
  // A request was dropped, since its caller had left before it was read.
  virtual void recordAbandoned() = 0;
  // The connection has ended and is to be destroyed after the current callback.
  // OpenIds are the requests that were not answered.
  virtual void release(ServerConnection &Connection,
                       std::span<const std::uint64_t> OpenIds) = 0;
  // Whether connections end with their next response.
  virtual bool isStopping() const = 0;
  // Whether requests that are read now may have waited in their sockets.
  virtual bool wasDelayed(Instant Now) const = 0;

protected:
  ~ServerConnectionOwner() = default;
};

// Not thread-safe.
class ServerConnection {
public:
  // Takes ownership of Stream. Owner must outlive the connection.
  ServerConnection(ServerConnectionOwner &Owner, bufferevent *Stream,
                   RequestLimits Limits, std::chrono::seconds IdleTimeout,
                   bool FromLoopback);
  ServerConnection(const ServerConnection &) = delete;
  ServerConnection &operator=(const ServerConnection &) = delete;

  // Sets the response to an open request and returns the time since the first
  // byte of the request arrived.
  Duration respond(std::uint64_t Id, const requests::HttpAnswer &Answer);

  // Whether responses, or parts of them, wait to be written to the socket.
  bool hasUnsentBytes() const;

private:
  // A request whose response has not been written.
  struct Exchange {
    std::uint64_t Id = 0;
    Instant FirstByteAt;
    bool IsHead = false;
    // Bytes of its body, while the request is not answered.
    std::size_t BodyBytes = 0;
    // The connection ends with the response.
    bool Last = false;
    // Empty until the request is answered.
    std::string Response;
  };

  static void onRead(bufferevent *Stream, void *Self);
  static void onWritten(bufferevent *Stream, void *Self);
  static void onEvent(bufferevent *Stream, short What, void *Self);

  // Parses and hands on the received requests within the limits.
  void processInput();
  bool mayParse() const;
  // Counts the body of the request that is being received. Returns whether
  // there is memory for it.
  bool holdReceivedBody();
  void acceptRequest();
  // Whether the caller has closed the connection, or its sending side, after
  // the request that was parsed last.
  bool callerHasLeft() const;
  // Answers a request that cannot be handed on; nothing after it is read.
  void reject(int Status);
  void sendContinueIfExpected();
  // Writes the responses whose turn it is.
  void flush();
  void handleEndOfInput();
  void handleTimeout(short What);
  // Reads no more requests, and answers 408 to an incomplete one.
  void endInput();
  // Ends the connection once all responses were sent.
  void finishIfIdle();
  // Ends the connection now; open requests count as disconnected.
  void abort();

  ServerConnectionOwner &Owner;
  std::unique_ptr<bufferevent, BuffereventDeleter> Stream;
  RequestParser Parser;
  bool FromLoopback;
  // In the order of the requests.
  std::deque<Exchange> Exchanges;
  // Bytes in Exchange::Response that wait for earlier responses.
  std::size_t HeldBytes = 0;
  // Bytes of the body of the request that is being received.
  std::size_t ReceivedBodyBytes = 0;
  // When the first byte of the request that is being received arrived.
  std::optional<Instant> FirstByteAt;
  // No further request is parsed.
  bool InputDone = false;
  // The caller has closed its sending side.
  bool EndOfInput = false;
  // All responses were written; waits for the caller to close.
  bool Lingering = false;
  bool ContinueSent = false;
  // A complete request was received.
  bool HandedOn = false;
  bool Processing = false;
  // release() was called.
  bool Released = false;
};

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_SERVER_CONNECTION_H
