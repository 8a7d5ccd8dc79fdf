// Incremental parser of HTTP/1.x requests, on the parser of Boost.Beast.
//
//   RequestParser Parser({.MaxHeaderBytes = 16384, .MaxBodyBytes = 1 << 20});
//   std::size_t Used = Parser.parse(Bytes);
//   if (Parser.state() == RequestParser::State::Complete)
//     handle(Parser.takeRequest());
//
// A request whose end is uncertain is malformed: two parsers could disagree
// about which bytes belong to its body.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_REQUEST_PARSER_H
#define ORIOLEDOOR_WIRE_INTERNAL_REQUEST_PARSER_H

#include <cstddef>
#include <memory>
#include <string_view>

namespace orioledoor::wire {
struct IncomingRequest;
} // namespace orioledoor::wire

namespace orioledoor::wire::internal {

struct RequestLimits {
  std::size_t MaxHeaderBytes = 16U << 10;
  std::size_t MaxBodyBytes = 4U << 20;
};

// Parses one request at a time. Not thread-safe.
class RequestParser {
public:
  enum class State {
    // No byte of a request was consumed.
    Idle,
    // More bytes are needed.
    Receiving,
    // takeRequest() returns the request.
    Complete,
    // errorStatus() tells why; nothing more is parsed.
    Malformed,
  };

  explicit RequestParser(RequestLimits Limits);
  ~RequestParser();
  RequestParser(const RequestParser &) = delete;
  RequestParser &operator=(const RequestParser &) = delete;

  // Parses the bytes at the front of Bytes and returns how many of them were
  // consumed. The others must be presented again, followed by later bytes.
  // Stops at the end of a request. Linear in the number of new bytes.
  std::size_t parse(std::string_view Bytes);

  State state() const { return this->CurrentState; }

  // Drops the received part of the current request, which gets an error
  // response with this status.
  void discard(int Status);

  // The status of the error response to a request that can't be handed on: 400,
  // 413, 431, 501, or what discard() stated.
  int errorStatus() const { return this->ErrorStatus; }

  // Bytes of the body of the current request that were received.
  std::size_t bodyBytes() const;

  // Whether the caller waits for "100 Continue" before it sends the body.
  bool expectsContinue() const;

  // Returns the complete request, without FirstByteAt and FromLoopback, and
  // starts over. CloseAfter is set if the connection ends with its response.
  IncomingRequest takeRequest(bool &CloseAfter);

private:
  class Handler;

  void fail(int Status);
  std::size_t findHeadEnd(std::string_view Bytes);

  RequestLimits Limits;
  State CurrentState = State::Idle;
  int ErrorStatus = 0;
  // Bytes of an incomplete head in which its end was not found.
  std::size_t SearchedBytes = 0;
  // Null until the head of a request is complete.
  std::unique_ptr<Handler> Message;
};

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_REQUEST_PARSER_H
