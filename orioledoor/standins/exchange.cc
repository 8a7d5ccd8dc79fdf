// HTTP answers through the server side of evhttp.
//
// evhttp stops reading while a request is served and so would not notice that
// the caller closes its connection; reading is therefore enabled again.
#include "orioledoor/standins/exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <memory>

#include "orioledoor/standins/loop.h"

namespace orioledoor::standins {
namespace {

struct BufferDeleter {
  void operator()(evbuffer *Buffer) const { evbuffer_free(Buffer); }
};
using BufferPtr = std::unique_ptr<evbuffer, BufferDeleter>;

BufferPtr makeBuffer(std::string_view Bytes) {
  BufferPtr Buffer(evbuffer_new());
  evbuffer_add(Buffer.get(), Bytes.data(), Bytes.size());
  return Buffer;
}

std::string_view methodName(evhttp_cmd_type Method) {
  switch (Method) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_PATCH:
    return "PATCH";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  default:
    return "OTHER";
  }
}

std::string orEmpty(const char *Text) { return Text ? Text : ""; }

} // namespace

Exchange::Exchange(Loop &Events, ServerConnection &Connection,
                   evhttp_request *Request)
    : Events(Events), Connection(&Connection), Request(Request),
      Method(methodName(evhttp_request_get_command(Request))) {
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  this->Path = orEmpty(Uri ? evhttp_uri_get_path(Uri) : nullptr);
  this->Query = orEmpty(Uri ? evhttp_uri_get_query(Uri) : nullptr);
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  this->Body.resize(evbuffer_get_length(Input));
  evbuffer_copyout(Input, this->Body.data(), this->Body.size());
  Connection.Current = this;
  bufferevent_enable(
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(Request)),
      EV_READ);
}

Exchange::~Exchange() {
  if (this->Streaming)
    this->endStream();
  else
    this->reply(500, "{}");
}

void Exchange::closed() {
  // evhttp frees the request unless it has detached it from the connection.
  if (this->Request && evhttp_request_get_connection(this->Request))
    this->Request = nullptr;
  this->Closed = true;
  this->Connection = nullptr;
  // The function may hold the last reference to this exchange.
  auto SelfReference = this->weak_from_this().lock();
  if (auto Function = std::exchange(this->ClosedHandler, nullptr))
    Function();
}

evhttp_request *Exchange::takeRequest() {
  this->ClosedHandler = nullptr;
  if (ServerConnection *Open = std::exchange(this->Connection, nullptr))
    Open->Current = nullptr;
  return std::exchange(this->Request, nullptr);
}

std::string Exchange::header(std::string_view Name) const {
  if (!this->Request)
    return "";
  return orEmpty(
      evhttp_find_header(evhttp_request_get_input_headers(this->Request),
                         std::string(Name).c_str()));
}

void Exchange::reply(int Code, std::string_view Body,
                     const HeaderList &Headers) {
  evhttp_request *TakenRequest = this->takeRequest();
  if (!TakenRequest)
    return;
  evkeyvalq *Output = evhttp_request_get_output_headers(TakenRequest);
  evhttp_add_header(Output, "Content-Type", "application/json");
  for (const auto &[Name, Value] : Headers)
    evhttp_add_header(Output, Name.c_str(), Value.c_str());
  // Also frees a request whose connection was closed.
  evhttp_send_reply(TakenRequest, Code, nullptr, makeBuffer(Body).get());
}

void Exchange::startStream() {
  if (!this->Request)
    return;
  this->Streaming = true;
  evhttp_add_header(evhttp_request_get_output_headers(this->Request),
                    "Content-Type", "application/json");
  evhttp_send_reply_start(this->Request, 200, nullptr);
}

void Exchange::sendChunk(std::string_view Bytes) {
  if (this->Request && !this->Closed)
    evhttp_send_reply_chunk(this->Request, makeBuffer(Bytes).get());
}

void Exchange::endStream() {
  if (evhttp_request *TakenRequest = this->takeRequest())
    evhttp_send_reply_end(TakenRequest);
}

void Exchange::drop() {
  // Deferred: the connection must not be freed inside its evhttp callback.
  this->Events.after(Duration(0), [Self = this->shared_from_this()] {
    if (!Self->Request)
      return;
    evhttp_connection *Open = evhttp_request_get_connection(Self->Request);
    if (!Open)
      return Self->reply(500, "");
    // Calls closed() through the close callback of the connection.
    evhttp_connection_free(Open);
  });
}

void Exchange::replyTruncated(int Code, std::string_view Body) {
  this->reply(Code, Body.substr(0, Body.size() / 2),
              {{"Content-Length", std::to_string(Body.size())},
               {"Connection", "close"}});
}

void Exchange::onClosed(std::function<void()> Function) {
  this->ClosedHandler = std::move(Function);
}

} // namespace orioledoor::standins
