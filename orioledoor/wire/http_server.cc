// Implements HttpServer on evhttp. A record for each connection serves to
// detect callers that disconnect and to replace the error pages of evhttp.
#include "orioledoor/wire/http_server.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <unordered_map>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "orioledoor/base/error.h"
#include "orioledoor/wire/internal/event_ptr.h"
#include "orioledoor/wire/internal/http_headers.h"

namespace orioledoor::wire {
namespace {

constexpr ev_uint16_t AllMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

const char *methodName(evhttp_cmd_type Type) {
  switch (Type) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  case EVHTTP_REQ_OPTIONS:
    return "OPTIONS";
  case EVHTTP_REQ_PATCH:
    return "PATCH";
  default:
    return "";
  }
}

// Returns the status in "HTTP/1.1 NNN ..." at the start of Buffer, or 400 if it
// is neither an error nor 100.
int parseStatus(evbuffer *Buffer) {
  char Line[13] = {};
  ev_ssize_t Copied = evbuffer_copyout(Buffer, Line, sizeof Line - 1);
  int Status = Copied == sizeof Line - 1 ? std::atoi(Line + 9) : 0;
  return Status == 100 || (Status >= 400 && Status <= 599) ? Status : 400;
}

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
  default:
    return "the request is malformed";
  }
}

std::string formatErrorResponse(int Status) {
  std::string Body = internal::errorBody("not-run", "receive request", "",
                                         errorMessageFor(Status));
  return "HTTP/1.1 " + std::to_string(Status) + ' ' +
         std::string(internal::reasonPhrase(Status)) +
         "\r\nContent-Type: application/json\r\nOriole-Outcome: "
         "not-run\r\nConnection: close\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

bool isLoopback(evhttp_connection *Http) {
  const sockaddr *Address = evhttp_connection_get_addr(Http);
  if (!Address)
    return false;
  if (Address->sa_family == AF_INET) {
    const auto *SocketAddress = reinterpret_cast<const sockaddr_in *>(Address);
    return (ntohl(SocketAddress->sin_addr.s_addr) >> 24) == 127;
  }
  const auto *SocketAddress = reinterpret_cast<const sockaddr_in6 *>(Address);
  return Address->sa_family == AF_INET6 &&
         IN6_IS_ADDR_LOOPBACK(&SocketAddress->sin6_addr);
}

std::string hostHeader(const evkeyvalq &Headers) {
  const char *Host = evhttp_find_header(&Headers, "Host");
  return Host ? Host : "";
}

// Adds to the response to a HEAD request the Content-Length that the response
// to a GET request would have.
void addLengthForHead(evkeyvalq &Output, const requests::HttpAnswer &Answer) {
  const requests::Header *LengthHeader =
      internal::findHeader(Answer.Headers, "Content-Length");
  std::string Length =
      LengthHeader ? LengthHeader->Value : std::to_string(Answer.Body.size());
  evhttp_add_header(&Output, "Content-Length", Length.c_str());
}

} // namespace

struct HttpServer::Impl {
  // A connection, from its acceptance until evhttp closes it.
  struct Connection {
    Impl *Server = nullptr;
    bufferevent *Stream = nullptr;
    evhttp_connection *Http = nullptr;
    internal::EventPtr ClosedEvent;
    // The request that is being handled; null if there is none.
    evhttp_request *Request = nullptr;
    std::uint64_t RequestId = 0;
    // Some bytes of a request were received, but evhttp has not delivered it
    // yet.
    bool Receiving = false;
    Instant FirstByteAt;
    bool HeadersComplete = false;
    std::size_t HeaderBytes = 0;
    // reply() is adding bytes to the output buffer.
    bool Replying = false;
    // An error response was already sent on the descriptor.
    bool Rejected = false;

    // Records the arrival of the first byte and the size of the headers of the
    // request that is being received.
    void trackRequestBytes(evbuffer *Buffer, std::size_t AddedBytes) {
      if (!std::exchange(this->Receiving, true))
        this->FirstByteAt = readClock();
      if (this->HeadersComplete)
        return;
      std::size_t BufferBytes = evbuffer_get_length(Buffer);
      // The end of the headers may span two reads.
      evbuffer_ptr SearchStart;
      evbuffer_ptr_set(
          Buffer, &SearchStart,
          BufferBytes - AddedBytes > 3 ? BufferBytes - AddedBytes - 3 : 0,
          EVBUFFER_PTR_SET);
      evbuffer_ptr End = evbuffer_search(Buffer, "\r\n\r\n", 4, &SearchStart);
      this->HeaderBytes = End.pos < 0 ? this->HeaderBytes + AddedBytes
                                      : static_cast<std::size_t>(End.pos);
      this->HeadersComplete =
          End.pos >= 0 &&
          this->HeaderBytes <= this->Server->Options.MaxHeaderBytes;
    }

    // Sends an error response directly on the descriptor, bypassing evhttp, and
    // shuts down the sending side. Only for connections that evhttp is about to
    // close.
    void rejectRequest(int Status) {
      ++this->Server->RejectedRequests;
      this->Rejected = true;
      this->Receiving = false;
      std::string Answer = formatErrorResponse(Status);
      int Descriptor = bufferevent_getfd(this->Stream);
      send(Descriptor, Answer.data(), Answer.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL);
      shutdown(Descriptor, SHUT_WR);
    }
  };

  event_base *Base = nullptr;
  HttpServerOptions Options;
  HttpServerCallbacks Callbacks;
  evhttp *Server = nullptr;
  evhttp_bound_socket *Listener = nullptr;
  // Accepted connections whose callbacks are not set up yet.
  std::vector<Connection *> NewConnections;
  internal::EventPtr NewConnectionsEvent;
  std::unordered_map<evhttp_connection *, Connection *> ConnectionsByHttp;
  std::unordered_map<std::uint64_t, Connection *> ConnectionsByRequestId;
  std::uint64_t NextId = 1;
  std::uint64_t RejectedRequests = 0;
  bool Stopping = false;

  ~Impl() {
    this->Stopping = true;
    this->setUpNewConnections();
    if (this->Server)
      evhttp_free(this->Server);
  }

  // Connections ---------------------------------------------------------------

  static bufferevent *onAccept(event_base *Base, void *Self) {
    auto *Server = static_cast<Impl *>(Self);
    bufferevent *Stream = bufferevent_socket_new(Base, -1, 0);
    if (!Stream)
      return nullptr;
    auto *Conn = new Connection;
    Conn->Server = Server;
    Conn->Stream = Stream;
    evbuffer_add_cb(bufferevent_get_input(Stream), onInput, Conn);
    evbuffer_add_cb(bufferevent_get_output(Stream), onOutput, Conn);
    Server->NewConnections.push_back(Conn);
    event_active(Server->NewConnectionsEvent.get(), 0, 0);
    return Stream;
  }

  // evhttp gives no access to a connection before its first request, except as
  // the argument of the callbacks that it sets on the bufferevent.
  void setUpNewConnections() {
    for (Connection *Conn : std::exchange(this->NewConnections, {})) {
      void *Context = nullptr;
      bufferevent_getcb(Conn->Stream, nullptr, nullptr, nullptr, &Context);
      Conn->Http = static_cast<evhttp_connection *>(Context);
      int Descriptor = bufferevent_getfd(Conn->Stream);
      int Enable = 1;
      setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof Enable);
      evhttp_connection_set_closecb(Conn->Http, onClose, Conn);
      this->ConnectionsByHttp[Conn->Http] = Conn;
      Conn->ClosedEvent.reset(event_new(
          this->Base, Descriptor, EV_CLOSED | EV_PERSIST, onPeerClosed, Conn));
      event_add(Conn->ClosedEvent.get(), nullptr);
    }
  }

  static void onInput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                      void *Context) {
    auto *Conn = static_cast<Connection *>(Context);
    if (Info->n_added > 0 && !Conn->Request)
      Conn->trackRequestBytes(Buffer, Info->n_added);
  }

  // evhttp writes its own error page when it rejects a request. The JSON error
  // response is sent in its place; the shutdown keeps the page of evhttp from
  // being sent.
  static void onOutput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                       void *Context) {
    auto *Conn = static_cast<Connection *>(Context);
    if (Info->n_added == 0 || Conn->Replying || Conn->Rejected)
      return;
    int Status = parseStatus(Buffer);
    if (Status == 100)
      return;
    // evhttp does not distinguish large headers from malformed ones.
    if (!Conn->HeadersComplete &&
        Conn->HeaderBytes > Conn->Server->Options.MaxHeaderBytes)
      Status = 431;
    Conn->rejectRequest(Status);
  }

  // Invoked when the peer closes the connection or its sending side.
  static void onPeerClosed(evutil_socket_t, short, void *Context) {
    auto *Conn = static_cast<Connection *>(Context);
    event_del(Conn->ClosedEvent.get());
    if (!Conn->Request)
      return; // evhttp detects the end of the stream itself.
    Impl *Server = Conn->Server;
    std::uint64_t Id = Conn->RequestId;
    // Also frees the request; onClose deletes the record.
    evhttp_connection_free(Conn->Http);
    Server->Callbacks.OnDisconnect(Id);
  }

  static void onClose(evhttp_connection *, void *Context) {
    auto *Conn = static_cast<Connection *>(Context);
    Impl *Server = Conn->Server;
    if (Conn->Receiving && !Conn->Rejected && !Server->Stopping)
      Conn->rejectRequest(408);
    Server->ConnectionsByHttp.erase(Conn->Http);
    if (Conn->RequestId != 0)
      Server->ConnectionsByRequestId.erase(Conn->RequestId);
    // The buffers outlive the record while evhttp frees the connection.
    evbuffer_remove_cb(bufferevent_get_input(Conn->Stream), onInput, Conn);
    evbuffer_remove_cb(bufferevent_get_output(Conn->Stream), onOutput, Conn);
    delete Conn;
  }

  // Requests ------------------------------------------------------------------

  static void onRequest(evhttp_request *Request, void *Self) {
    static_cast<Impl *>(Self)->handleRequest(Request);
  }

  void handleRequest(evhttp_request *Request) {
    auto Found =
        this->ConnectionsByHttp.find(evhttp_request_get_connection(Request));
    if (Found == this->ConnectionsByHttp.end()) {
      evhttp_send_error(Request, 500, nullptr);
      return;
    }
    Connection &Conn = *Found->second;
    Conn.Receiving = false;
    Conn.Request = Request;
    Conn.RequestId = this->NextId++;
    this->ConnectionsByRequestId[Conn.RequestId] = &Conn;
    const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
    if (internal::hasAmbiguousFraming(*Headers)) {
      ++this->RejectedRequests;
      // The end of the request is uncertain, so nothing after it is read.
      evhttp_add_header(evhttp_request_get_output_headers(Request),
                        "Connection", "close");
      this->reply(Conn.RequestId,
                  {400,
                   {{"Content-Type", "application/json"},
                    {"Oriole-Outcome", "not-run"}},
                   internal::errorBody("not-run", "receive request", "",
                                       "the framing of the request is "
                                       "ambiguous")});
      return;
    }
    evbuffer *Body = evhttp_request_get_input_buffer(Request);
    IncomingRequest Incoming{
        .Method = methodName(evhttp_request_get_command(Request)),
        .Target = evhttp_request_get_uri(Request),
        .Host = hostHeader(*Headers),
        .Headers = internal::endToEndHeaders(*Headers),
        .Body = std::string(evbuffer_get_length(Body), '\0'),
        .FirstByteAt = Conn.FirstByteAt,
        .FromLoopback = isLoopback(Conn.Http)};
    evbuffer_remove(Body, Incoming.Body.data(), Incoming.Body.size());
    this->Callbacks.OnRequest(Conn.RequestId, std::move(Incoming));
  }

  std::optional<Duration> reply(std::uint64_t Id,
                                const requests::HttpAnswer &Answer) {
    auto Found = this->ConnectionsByRequestId.find(Id);
    if (Found == this->ConnectionsByRequestId.end())
      return std::nullopt;
    Connection &Conn = *Found->second;
    this->ConnectionsByRequestId.erase(Found);
    Duration Elapsed = readClock() - Conn.FirstByteAt;
    evhttp_request *Request = std::exchange(Conn.Request, nullptr);
    Conn.RequestId = 0;
    evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
    internal::addHeaders(*Headers, Answer.Headers);
    bool IsHead = evhttp_request_get_command(Request) == EVHTTP_REQ_HEAD;
    if (IsHead)
      addLengthForHead(*Headers, Answer);
    if (this->Stopping)
      evhttp_add_header(Headers, "Connection", "close");
    evbuffer *Body = evhttp_request_get_output_buffer(Request);
    // evhttp would send the body of a response to HEAD.
    if (!IsHead)
      evbuffer_add(Body, Answer.Body.data(), Answer.Body.size());
    int Status =
        Answer.Status >= 200 && Answer.Status <= 599 ? Answer.Status : 502;
    std::string Reason(internal::reasonPhrase(Status));
    Conn.Replying = true;
    evhttp_send_reply(Request, Status, Reason.c_str(), nullptr);
    Conn.Replying = false;
    // Bytes that a pipelining caller sent in the meantime belong to its next
    // request.
    Conn.HeadersComplete = false;
    Conn.HeaderBytes = 0;
    evbuffer *Input = bufferevent_get_input(Conn.Stream);
    if (std::size_t BufferedBytes = evbuffer_get_length(Input))
      Conn.trackRequestBytes(Input, BufferedBytes);
    return Elapsed;
  }

  absl::Status listen() {
    this->NewConnectionsEvent.reset(event_new(
        this->Base, -1, 0,
        [](evutil_socket_t, short, void *Self) {
          static_cast<Impl *>(Self)->setUpNewConnections();
        },
        this));
    this->Server = evhttp_new(this->Base);
    evhttp_set_bevcb(this->Server, onAccept, this);
    evhttp_set_gencb(this->Server, onRequest, this);
    evhttp_set_allowed_methods(this->Server, AllMethods);
    evhttp_set_default_content_type(this->Server, nullptr);
    evhttp_set_max_headers_size(
        this->Server, static_cast<ev_ssize_t>(this->Options.MaxHeaderBytes));
    evhttp_set_max_body_size(
        this->Server, static_cast<ev_ssize_t>(this->Options.MaxBodyBytes));
    evhttp_set_timeout(this->Server,
                       static_cast<int>(this->Options.IdleTimeout.count()));
    evhttp_set_flags(this->Server, EVHTTP_SERVER_LINGERING_CLOSE);
    this->Listener = evhttp_bind_socket_with_handle(
        this->Server, this->Options.Listen.Host.c_str(),
        this->Options.Listen.Port);
    if (!this->Listener)
      return makeError(absl::StatusCode::kUnavailable, "listen for callers",
                       this->Options.Listen.Host + ":" +
                           std::to_string(this->Options.Listen.Port),
                       std::strerror(errno));
    return absl::OkStatus();
  }
};

HttpServer::HttpServer(std::unique_ptr<Impl> Pimpl) : Pimpl(std::move(Pimpl)) {}

HttpServer::~HttpServer() = default;

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::open(event_base *Base, HttpServerOptions Options,
                 HttpServerCallbacks Callbacks) {
  auto Pimpl = std::make_unique<Impl>();
  Pimpl->Base = Base;
  Pimpl->Options = std::move(Options);
  Pimpl->Callbacks = std::move(Callbacks);
  if (absl::Status Listening = Pimpl->listen(); !Listening.ok())
    return Listening;
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(Pimpl)));
}

std::optional<Duration> HttpServer::reply(std::uint64_t Id,
                                          const requests::HttpAnswer &Answer) {
  return this->Pimpl->reply(Id, Answer);
}

requests::HttpAnswer errorAnswer(int Status, const absl::Status &Error) {
  // The message starts with the step and the peer, which have fields of their
  // own.
  std::string Message(Error.message());
  std::string Step = stepOf(Error);
  std::string Peer = peerOf(Error);
  std::string Prefix = Step + (Peer.empty() ? "" : " at " + Peer) + ": ";
  if (Message.starts_with(Prefix))
    Message.erase(0, Prefix.size());
  return {Status,
          {{"Content-Type", "application/json"}, {"Oriole-Outcome", "not-run"}},
          internal::errorBody("not-run", Step, Peer, Message)};
}

std::size_t HttpServer::openRequests() const {
  return this->Pimpl->ConnectionsByRequestId.size();
}

std::uint64_t HttpServer::rejectedRequests() const {
  return this->Pimpl->RejectedRequests;
}

void HttpServer::setIdleTimeout(std::chrono::seconds Timeout) {
  evhttp_set_timeout(this->Pimpl->Server, static_cast<int>(Timeout.count()));
}

void HttpServer::stopAccepting() {
  this->Pimpl->Stopping = true;
  if (auto *Listener = std::exchange(this->Pimpl->Listener, nullptr))
    evhttp_del_accept_socket(this->Pimpl->Server, Listener);
}

} // namespace orioledoor::wire
