// Order of responses, limits, time limits and the end of a connection.
#include "orioledoor/wire/internal/server_connection.h"

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <string_view>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

#include "orioledoor/wire/http_server.h"
#include "orioledoor/wire/internal/http_headers.h"

namespace orioledoor::wire::internal {
namespace {

// Requests of one connection that are open at the same time. Further ones stay
// unread.
constexpr std::size_t MaxOpenRequests = 16;
// Bytes of responses that are not sent yet; no request is read above that.
constexpr std::size_t MaxUnsentBytes = 1U << 20;
// Unparsed input, beyond a head of the largest size.
constexpr std::size_t ReadAheadBytes = 64U << 10;
// How long a closed connection waits for the caller to close it, too. Closing
// with unread input would reset the connection and could destroy the last
// response.
constexpr std::chrono::seconds LingerTime{1};

std::string_view errorMessageFor(int Status) {
  switch (Status) {
  case 408:
    return "the request ended before its announced length, or came too slowly";
  case 413:
    return "the request body is too large";
  case 431:
    return "the request line and headers are too large";
  case 501:
    return "the method is not supported";
  case 503:
    return "the node has no memory for another body";
  default:
    return "the request is malformed";
  }
}

// In seconds. Most of the bodies that are held are passed on by then.
constexpr char MemoryRetryAfter[] = "0.2";

bool hasBody(int Status) { return Status != 204 && Status != 304; }

// Returns a Date header line. Formats it once a second.
std::string_view dateLine() {
  static std::time_t FormattedAt = 0;
  static std::string Line;
  std::time_t Now = std::time(nullptr);
  if (Now != std::exchange(FormattedAt, Now) || Line.empty()) {
    std::tm Time{};
    gmtime_r(&Now, &Time);
    char Text[48];
    std::size_t Size = std::strftime(
        Text, sizeof Text, "Date: %a, %d %b %Y %H:%M:%S GMT\r\n", &Time);
    Line.assign(Text, Size);
  }
  return Line;
}

// Answers to HEAD have the length that the answer to GET would have.
std::string formatResponse(const requests::HttpAnswer &Answer, bool IsHead,
                           bool Close) {
  int Status =
      Answer.Status >= 200 && Answer.Status <= 599 ? Answer.Status : 502;
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + ' ' +
                     std::string(reasonPhrase(Status)) + "\r\n";
  appendHeaders(Text, Answer.Headers);
  if (!findHeader(Answer.Headers, "Date"))
    Text += dateLine();
  if (hasBody(Status)) {
    const requests::Header *StatedLength =
        IsHead ? findHeader(Answer.Headers, "Content-Length") : nullptr;
    Text.append("Content-Length: ")
        .append(StatedLength ? StatedLength->Value
                             : std::to_string(Answer.Body.size()))
        .append("\r\n");
  }
  if (Close)
    Text += "Connection: close\r\n";
  Text += "\r\n";
  if (!IsHead && hasBody(Status))
    Text += Answer.Body;
  return Text;
}

} // namespace

ServerConnection::ServerConnection(ServerConnectionOwner &Owner,
                                   bufferevent *Stream, RequestLimits Limits,
                                   std::chrono::seconds IdleTimeout,
                                   bool FromLoopback)
    : Owner(Owner), Stream(Stream), Parser(Limits), FromLoopback(FromLoopback) {
  timeval Timeout{static_cast<time_t>(IdleTimeout.count()), 0};
  bufferevent_setcb(Stream, onRead, onWritten, onEvent, this);
  bufferevent_set_timeouts(Stream, &Timeout, &Timeout);
  bufferevent_setwatermark(Stream, EV_READ, 0,
                           Limits.MaxHeaderBytes + ReadAheadBytes);
  bufferevent_enable(Stream, EV_READ | EV_WRITE);
}

void ServerConnection::onRead(bufferevent *Stream, void *Self) {
  auto *Connection = static_cast<ServerConnection *>(Self);
  evbuffer *Input = bufferevent_get_input(Stream);
  if (Connection->InputDone) {
    evbuffer_drain(Input, evbuffer_get_length(Input));
    return;
  }
  if (!Connection->FirstByteAt)
    Connection->FirstByteAt = readClock();
  Connection->processInput();
}

void ServerConnection::onWritten(bufferevent *, void *Self) {
  auto *Connection = static_cast<ServerConnection *>(Self);
  Connection->finishIfIdle();
  Connection->processInput();
}

void ServerConnection::onEvent(bufferevent *, short What, void *Self) {
  auto *Connection = static_cast<ServerConnection *>(Self);
  if ((What & BEV_EVENT_TIMEOUT) != 0)
    Connection->handleTimeout(What);
  else if ((What & BEV_EVENT_EOF) != 0)
    Connection->handleEndOfInput();
  else
    Connection->abort();
}

bool ServerConnection::mayParse() const {
  return !this->InputDone && !this->Released &&
         this->Exchanges.size() < MaxOpenRequests &&
         this->HeldBytes + evbuffer_get_length(
                               bufferevent_get_output(this->Stream.get())) <
             MaxUnsentBytes;
}

void ServerConnection::processInput() {
  // A response within acceptRequest() leads back here; the loop goes on then.
  if (std::exchange(this->Processing, true))
    return;
  evbuffer *Input = bufferevent_get_input(this->Stream.get());
  while (this->mayParse()) {
    std::size_t Available = evbuffer_get_length(Input);
    if (Available == 0)
      break;
    const auto *Bytes =
        reinterpret_cast<const char *>(evbuffer_pullup(Input, -1));
    std::size_t Used = this->Parser.parse({Bytes, Available});
    evbuffer_drain(Input, Used);
    if (!this->holdReceivedBody())
      this->Parser.discard(503);
    if (this->Parser.state() == RequestParser::State::Malformed)
      this->reject(this->Parser.errorStatus());
    else if (this->Parser.state() == RequestParser::State::Complete)
      this->acceptRequest();
    else
      break;
  }
  if (this->Parser.state() == RequestParser::State::Idle &&
      evbuffer_get_length(Input) == 0)
    this->FirstByteAt.reset();
  this->sendContinueIfExpected();
  this->Processing = false;
}

bool ServerConnection::holdReceivedBody() {
  std::size_t Bytes = this->Parser.bodyBytes();
  std::size_t New = Bytes - std::exchange(this->ReceivedBodyBytes, Bytes);
  return New == 0 || this->Owner.holdBodyBytes(New);
}

void ServerConnection::acceptRequest() {
  Exchange &Added = this->Exchanges.emplace_back();
  Added.BodyBytes = std::exchange(this->ReceivedBodyBytes, 0);
  IncomingRequest Request = this->Parser.takeRequest(Added.Last);
  Instant Now = readClock();
  // libevent reports the end of the input only after the request, which would
  // reach a target before it is cancelled. Both arrive together on a connection
  // whose opening packet was lost and sent again a second later.
  bool MayHaveWaited =
      !std::exchange(this->HandedOn, true) || this->Owner.wasDelayed(Now);
  if (MayHaveWaited && this->callerHasLeft()) {
    this->Owner.recordAbandoned();
    this->abort();
    return;
  }
  Added.Id = this->Owner.addRequest(*this);
  Added.FirstByteAt = this->FirstByteAt.value_or(Now);
  Added.IsHead = Request.Method == "HEAD";
  this->InputDone = Added.Last;
  this->ContinueSent = false;
  // The bytes that follow arrived with the last ones of this request.
  this->FirstByteAt = Now;
  Request.FirstByteAt = Added.FirstByteAt;
  Request.FromLoopback = this->FromLoopback;
  this->Owner.handleRequest(Added.Id, std::move(Request));
}

bool ServerConnection::callerHasLeft() const {
  if (evbuffer_get_length(bufferevent_get_input(this->Stream.get())) > 0)
    return false;
  char Byte;
  ssize_t Received = recv(bufferevent_getfd(this->Stream.get()), &Byte, 1,
                          MSG_PEEK | MSG_DONTWAIT);
  return Received == 0 || (Received < 0 && errno == ECONNRESET);
}

void ServerConnection::reject(int Status) {
  this->Owner.recordRejection();
  this->Owner.releaseBodyBytes(std::exchange(this->ReceivedBodyBytes, 0));
  this->InputDone = true;
  requests::HttpAnswer Answer{
      Status,
      {{"Content-Type", "application/json"}, {"Oriole-Outcome", "not-run"}},
      errorBody("not-run", "receive request", "", errorMessageFor(Status))};
  if (Status == 503)
    Answer.Headers.push_back({"Retry-After", MemoryRetryAfter});
  Exchange &Added = this->Exchanges.emplace_back();
  Added.Last = true;
  Added.Response = formatResponse(Answer, false, true);
  this->HeldBytes += Added.Response.size();
  this->flush();
}

void ServerConnection::sendContinueIfExpected() {
  if (this->ContinueSent || !this->Exchanges.empty() || this->InputDone ||
      !this->Parser.expectsContinue())
    return;
  this->ContinueSent = true;
  static constexpr std::string_view Text = "HTTP/1.1 100 Continue\r\n\r\n";
  bufferevent_write(this->Stream.get(), Text.data(), Text.size());
}

Duration ServerConnection::respond(std::uint64_t Id,
                                   const requests::HttpAnswer &Answer) {
  auto Found = std::ranges::find(this->Exchanges, Id, &Exchange::Id);
  Instant FirstByteAt = Found->FirstByteAt;
  if (this->Owner.isStopping() && &*Found == &this->Exchanges.back())
    Found->Last = this->InputDone = true;
  Found->Response = formatResponse(Answer, Found->IsHead, Found->Last);
  Found->Id = 0;
  this->Owner.releaseBodyBytes(std::exchange(Found->BodyBytes, 0));
  this->HeldBytes += Found->Response.size();
  this->flush();
  this->processInput();
  return readClock() - FirstByteAt;
}

void ServerConnection::flush() {
  while (!this->Exchanges.empty() &&
         !this->Exchanges.front().Response.empty()) {
    const std::string &Response = this->Exchanges.front().Response;
    bufferevent_write(this->Stream.get(), Response.data(), Response.size());
    this->HeldBytes -= Response.size();
    this->Exchanges.pop_front();
  }
}

bool ServerConnection::hasUnsentBytes() const {
  return this->HeldBytes > 0 ||
         evbuffer_get_length(bufferevent_get_output(this->Stream.get())) > 0;
}

void ServerConnection::finishIfIdle() {
  if (!this->InputDone || !this->Exchanges.empty() || this->Lingering ||
      evbuffer_get_length(bufferevent_get_output(this->Stream.get())) != 0)
    return;
  if (this->EndOfInput) {
    this->abort();
    return;
  }
  this->Lingering = true;
  shutdown(bufferevent_getfd(this->Stream.get()), SHUT_WR);
  evbuffer *Input = bufferevent_get_input(this->Stream.get());
  evbuffer_drain(Input, evbuffer_get_length(Input));
  timeval Timeout{static_cast<time_t>(LingerTime.count()), 0};
  bufferevent_set_timeouts(this->Stream.get(), &Timeout, nullptr);
}

void ServerConnection::handleEndOfInput() {
  this->EndOfInput = true;
  bool Unanswered = std::ranges::any_of(
      this->Exchanges, [](const Exchange &Each) { return Each.Id != 0; });
  if (Unanswered || this->Lingering) {
    this->abort();
    return;
  }
  this->endInput();
}

void ServerConnection::endInput() {
  if (this->Parser.state() == RequestParser::State::Receiving &&
      !this->InputDone)
    this->reject(408);
  this->InputDone = true;
  this->finishIfIdle();
}

void ServerConnection::handleTimeout(short What) {
  bool IsReading = (What & BEV_EVENT_READING) != 0;
  if (!IsReading || this->Lingering) {
    this->abort();
    return;
  }
  // A timeout ends reading. The caller is not late while it waits for its
  // responses.
  bufferevent_enable(this->Stream.get(), EV_READ);
  if (this->Exchanges.empty())
    this->endInput();
}

void ServerConnection::abort() {
  if (std::exchange(this->Released, true))
    return;
  bufferevent_disable(this->Stream.get(), EV_READ | EV_WRITE);
  std::vector<std::uint64_t> OpenIds;
  std::size_t BodyBytes = std::exchange(this->ReceivedBodyBytes, 0);
  for (const Exchange &Each : std::exchange(this->Exchanges, {})) {
    BodyBytes += Each.BodyBytes;
    if (Each.Id != 0)
      OpenIds.push_back(Each.Id);
  }
  this->Owner.releaseBodyBytes(BodyBytes);
  this->Owner.release(*this, OpenIds);
}

} // namespace orioledoor::wire::internal
