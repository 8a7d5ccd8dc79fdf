// Checks of the head, and the callbacks of the Boost.Beast parser.
#include "orioledoor/wire/internal/request_parser.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <boost/beast/http/basic_parser.hpp>

#include "orioledoor/wire/http_server.h"
#include "orioledoor/wire/internal/http_headers.h"

namespace orioledoor::wire::internal {
namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using StringView = boost::beast::string_view;

constexpr std::string_view HeadEnd = "\r\n\r\n";
// Limit for the line before a chunk and for the trailers.
constexpr std::size_t MaxChunkLineBytes = 4U << 10;
// Memory that a caller can claim by only announcing a body.
constexpr std::size_t MaxReservedBytes = 64U << 10;
constexpr int Http11 = 11;

std::string_view toStd(StringView Text) { return {Text.data(), Text.size()}; }

bool isSupportedMethod(std::string_view Method) {
  static constexpr std::array<std::string_view, 7> Methods = {
      "GET", "POST", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH"};
  return std::ranges::find(Methods, Method) != Methods.end();
}

// Returns whether every line of Head ends with CR LF, none continues the one
// before it, and there is no NUL. Other parsers may split such lines elsewhere.
bool hasPlainLines(std::string_view Head) {
  for (std::size_t I = 0; I < Head.size(); ++I) {
    bool IsLineEnd = Head[I] == '\r' && Head.substr(I).starts_with("\r\n");
    if (IsLineEnd) {
      ++I;
      if (I + 1 < Head.size() && (Head[I + 1] == ' ' || Head[I + 1] == '\t'))
        return false;
    } else if (Head[I] == '\r' || Head[I] == '\n' || Head[I] == '\0') {
      return false;
    }
  }
  return true;
}

} // namespace

class RequestParser::Handler : public http::basic_parser<true> {
public:
  explicit Handler(RequestLimits Limits) {
    this->eager(true);
    this->header_limit(static_cast<std::uint32_t>(Limits.MaxHeaderBytes) + 1);
    this->body_limit(Limits.MaxBodyBytes);
  }

  IncomingRequest Request{};
  bool MethodSupported = true;
  bool Http10 = false;
  bool ExpectsContinue = false;

private:
  void on_request_impl(http::verb, StringView Method, StringView Target,
                       int Version, ErrorCode &) override {
    this->Request.Method = toStd(Method);
    this->Request.Target = toStd(Target);
    this->MethodSupported = isSupportedMethod(this->Request.Method);
    this->Http10 = Version < Http11;
  }

  void on_response_impl(int, StringView, int, ErrorCode &) override {}

  void on_field_impl(http::field, StringView Name, StringView Value,
                     ErrorCode &) override {
    // Trailers are not forwarded.
    if (!this->HeadersDone)
      this->Headers.push_back(
          {std::string(toStd(Name)), std::string(toStd(Value))});
  }

  void on_header_impl(ErrorCode &Error) override {
    this->HeadersDone = true;
    auto IsHost = [](const requests::Header &Field) {
      return equalsIgnoreCase(Field.Name, "host");
    };
    auto HostCount = std::ranges::count_if(this->Headers, IsHost);
    bool HasTransferEncoding =
        findHeader(this->Headers, "Transfer-Encoding") != nullptr;
    if (hasAmbiguousFraming(this->Headers) || HostCount > 1 ||
        (HostCount == 0 && !this->Http10) ||
        (HasTransferEncoding && this->Http10)) {
      Error = http::error::bad_field;
      return;
    }
    if (const requests::Header *Host = findHeader(this->Headers, "Host"))
      this->Request.Host = Host->Value;
    if (const requests::Header *Expect = findHeader(this->Headers, "Expect"))
      this->ExpectsContinue = equalsIgnoreCase(Expect->Value, "100-continue");
    this->Request.Headers = endToEndHeaders(std::move(this->Headers));
  }

  void on_body_init_impl(const boost::optional<std::uint64_t> &Length,
                         ErrorCode &) override {
    if (Length)
      this->Request.Body.reserve(std::min<std::size_t>(
          static_cast<std::size_t>(*Length), MaxReservedBytes));
  }

  std::size_t on_body_impl(StringView Bytes, ErrorCode &) override {
    this->Request.Body.append(Bytes.data(), Bytes.size());
    return Bytes.size();
  }

  void on_chunk_header_impl(std::uint64_t, StringView, ErrorCode &) override {}

  std::size_t on_chunk_body_impl(std::uint64_t, StringView Bytes,
                                 ErrorCode &) override {
    this->Request.Body.append(Bytes.data(), Bytes.size());
    return Bytes.size();
  }

  void on_finish_impl(ErrorCode &) override {}

  std::vector<requests::Header> Headers;
  bool HeadersDone = false;
};

RequestParser::RequestParser(RequestLimits Limits) : Limits(Limits) {}

RequestParser::~RequestParser() = default;

void RequestParser::fail(int Status) {
  this->CurrentState = State::Malformed;
  this->ErrorStatus = Status;
}

// Returns the size of the head at the front of Bytes, or 0 if it is incomplete.
std::size_t RequestParser::findHeadEnd(std::string_view Bytes) {
  // The end of the head may span two reads.
  std::size_t Start =
      this->SearchedBytes - std::min(this->SearchedBytes, HeadEnd.size() - 1);
  std::size_t End = Bytes.find(HeadEnd, Start);
  this->SearchedBytes = Bytes.size();
  return End == std::string_view::npos ? 0 : End + HeadEnd.size();
}

std::size_t RequestParser::parse(std::string_view Bytes) {
  std::size_t Used = 0;
  if (this->CurrentState == State::Idle) {
    // Some clients send an empty line after a body.
    while (Bytes.substr(Used).starts_with("\r\n"))
      Used += 2;
    Bytes.remove_prefix(Used);
    if (Bytes.empty() || Bytes == "\r")
      return Used;
    this->CurrentState = State::Receiving;
    this->SearchedBytes = 0;
  }
  if (this->CurrentState != State::Receiving)
    return Used;
  if (!this->Message) {
    std::size_t HeadBytes = this->findHeadEnd(Bytes);
    if (std::max(HeadBytes, HeadBytes == 0 ? Bytes.size() : 0) >
        this->Limits.MaxHeaderBytes) {
      this->fail(431);
      return Used;
    }
    if (HeadBytes == 0)
      return Used;
    if (!hasPlainLines(Bytes.substr(0, HeadBytes))) {
      this->fail(400);
      return Used;
    }
    this->Message = std::make_unique<Handler>(this->Limits);
  }
  // Beast consumes one chunk or part of a body at a time.
  while (!this->Message->is_done()) {
    ErrorCode Error;
    std::size_t Consumed = this->Message->put(
        boost::asio::const_buffer(Bytes.data(), Bytes.size()), Error);
    Used += Consumed;
    Bytes.remove_prefix(Consumed);
    if (!this->Message->MethodSupported) {
      this->fail(501);
      return Used;
    }
    if (Error == http::error::need_more || (!Error && Bytes.empty())) {
      if (this->Message->is_done())
        break;
      if (Bytes.size() > MaxChunkLineBytes)
        this->fail(400);
      return Used;
    }
    if (Error) {
      this->fail(Error == http::error::body_limit ? 413 : 400);
      return Used;
    }
  }
  this->CurrentState = State::Complete;
  return Used;
}

void RequestParser::discard(int Status) {
  this->Message.reset();
  this->fail(Status);
}

std::size_t RequestParser::bodyBytes() const {
  return this->Message ? this->Message->Request.Body.size() : 0;
}

bool RequestParser::expectsContinue() const {
  return this->CurrentState == State::Receiving && this->Message &&
         this->Message->ExpectsContinue;
}

IncomingRequest RequestParser::takeRequest(bool &CloseAfter) {
  CloseAfter = this->Message->Http10 || !this->Message->keep_alive();
  IncomingRequest Result = std::move(this->Message->Request);
  this->Message.reset();
  this->CurrentState = State::Idle;
  return Result;
}

} // namespace orioledoor::wire::internal
