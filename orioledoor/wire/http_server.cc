// evhttp with a record a connection, which reports callers that leave and
// replaces evhttp's own error pages.
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

// The status in "HTTP/1.1 NNN ..." at the start of Buffer; 400 if it is
// neither an error nor 100.
int statusIn(evbuffer *Buffer) {
  char Line[13] = {};
  ev_ssize_t Copied = evbuffer_copyout(Buffer, Line, sizeof Line - 1);
  int Status = Copied == sizeof Line - 1 ? std::atoi(Line + 9) : 0;
  return Status == 100 || (Status >= 400 && Status <= 599) ? Status : 400;
}

std::string_view messageOf(int Status) {
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

std::string rawAnswer(int Status) {
  std::string Body =
      internal::errorBody("not-run", "receive request", "", messageOf(Status));
  return "HTTP/1.1 " + std::to_string(Status) + ' ' +
         std::string(internal::reasonOf(Status)) +
         "\r\nContent-Type: application/json\r\nOriole-Outcome: "
         "not-run\r\nConnection: close\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

bool isLoopback(evhttp_connection *From) {
  const sockaddr *Address = evhttp_connection_get_addr(From);
  if (!Address)
    return false;
  if (Address->sa_family == AF_INET) {
    const auto *In = reinterpret_cast<const sockaddr_in *>(Address);
    return (ntohl(In->sin_addr.s_addr) >> 24) == 127;
  }
  const auto *In = reinterpret_cast<const sockaddr_in6 *>(Address);
  return Address->sa_family == AF_INET6 && IN6_IS_ADDR_LOOPBACK(&In->sin6_addr);
}

std::string hostOf(const evkeyvalq &Headers) {
  const char *Host = evhttp_find_header(&Headers, "Host");
  return Host ? Host : "";
}

// An answer to HEAD states the length that the answer to GET would have.
void addLengthForHead(evkeyvalq &To, const requests::HttpAnswer &Answer) {
  const requests::Header *Stated =
      internal::findHeader(Answer.Headers, "Content-Length");
  std::string Length =
      Stated ? Stated->Value : std::to_string(Answer.Body.size());
  evhttp_add_header(&To, "Content-Length", Length.c_str());
}

} // namespace

struct HttpServer::Impl {
  // One connection, from its acceptance until evhttp closes it.
  struct Connection {
    Impl *Server = nullptr;
    bufferevent *Stream = nullptr;
    evhttp_connection *Http = nullptr;
    internal::EventPtr ClosedEvent;
    // The request being worked on.
    evhttp_request *Request = nullptr;
    std::uint64_t Id = 0;
    // Bytes of a request arrived that evhttp has not delivered yet.
    bool Receiving = false;
    Instant FirstByteAt;
    bool HeadersComplete = false;
    std::size_t HeaderBytes = 0;
    // The bytes that are added to the output come from reply().
    bool Replying = false;
    // An error was already sent on the descriptor.
    bool Refused = false;

    // Follows the bytes of the request that is being received.
    void noteInput(evbuffer *Buffer, std::size_t Added) {
      if (!std::exchange(this->Receiving, true))
        this->FirstByteAt = readClock();
      if (this->HeadersComplete)
        return;
      std::size_t Length = evbuffer_get_length(Buffer);
      // The end of the headers may straddle two reads.
      evbuffer_ptr From;
      evbuffer_ptr_set(Buffer, &From,
                       Length - Added > 3 ? Length - Added - 3 : 0,
                       EVBUFFER_PTR_SET);
      evbuffer_ptr End = evbuffer_search(Buffer, "\r\n\r\n", 4, &From);
      this->HeaderBytes = End.pos < 0 ? this->HeaderBytes + Added
                                      : static_cast<std::size_t>(End.pos);
      this->HeadersComplete =
          End.pos >= 0 &&
          this->HeaderBytes <= this->Server->Options.MaxHeaderBytes;
    }

    // Answers on the descriptor, past evhttp, and ends the sending half. Only
    // for connections that evhttp is about to close.
    void refuse(int Status) {
      ++this->Server->Refusals;
      this->Refused = true;
      this->Receiving = false;
      std::string Answer = rawAnswer(Status);
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
  // Accepted connections that evhttp has not set up yet.
  std::vector<Connection *> Accepted;
  internal::EventPtr AcceptedEvent;
  std::unordered_map<evhttp_connection *, Connection *> ByHttp;
  std::unordered_map<std::uint64_t, Connection *> ById;
  std::uint64_t NextId = 1;
  std::uint64_t Refusals = 0;
  bool Stopping = false;

  ~Impl() {
    this->Stopping = true;
    this->setUpAccepted();
    if (this->Server)
      evhttp_free(this->Server);
  }

  // Connections ---------------------------------------------------------------

  static bufferevent *onAccept(event_base *Base, void *Self) {
    auto *Server = static_cast<Impl *>(Self);
    bufferevent *Stream = bufferevent_socket_new(Base, -1, 0);
    if (!Stream)
      return nullptr;
    auto *Added = new Connection;
    Added->Server = Server;
    Added->Stream = Stream;
    evbuffer_add_cb(bufferevent_get_input(Stream), onInput, Added);
    evbuffer_add_cb(bufferevent_get_output(Stream), onOutput, Added);
    Server->Accepted.push_back(Added);
    event_active(Server->AcceptedEvent.get(), 0, 0);
    return Stream;
  }

  // evhttp gives no access to a connection before its first request, except
  // as the argument of the callbacks that it sets on the bufferevent.
  void setUpAccepted() {
    for (Connection *Added : std::exchange(this->Accepted, {})) {
      void *Context = nullptr;
      bufferevent_getcb(Added->Stream, nullptr, nullptr, nullptr, &Context);
      Added->Http = static_cast<evhttp_connection *>(Context);
      int Descriptor = bufferevent_getfd(Added->Stream);
      int On = 1;
      setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      evhttp_connection_set_closecb(Added->Http, onClose, Added);
      this->ByHttp[Added->Http] = Added;
      Added->ClosedEvent.reset(event_new(
          this->Base, Descriptor, EV_CLOSED | EV_PERSIST, onPeerClosed, Added));
      event_add(Added->ClosedEvent.get(), nullptr);
    }
  }

  static void onInput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                      void *Context) {
    auto *Of = static_cast<Connection *>(Context);
    if (Info->n_added > 0 && !Of->Request)
      Of->noteInput(Buffer, Info->n_added);
  }

  // evhttp adds its own error page when it refuses a request. The JSON page is
  // written in its place; the shutdown keeps the original off the wire.
  static void onOutput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                       void *Context) {
    auto *Of = static_cast<Connection *>(Context);
    if (Info->n_added == 0 || Of->Replying || Of->Refused)
      return;
    int Status = statusIn(Buffer);
    if (Status == 100)
      return;
    // evhttp does not tell large headers from malformed ones.
    if (!Of->HeadersComplete &&
        Of->HeaderBytes > Of->Server->Options.MaxHeaderBytes)
      Status = 431;
    Of->refuse(Status);
  }

  // The peer closed its end, or its sending half.
  static void onPeerClosed(evutil_socket_t, short, void *Context) {
    auto *Of = static_cast<Connection *>(Context);
    event_del(Of->ClosedEvent.get());
    if (!Of->Request)
      return; // evhttp reads the end itself.
    Impl *Server = Of->Server;
    std::uint64_t Id = Of->Id;
    // Frees the request too; onClose drops the record.
    evhttp_connection_free(Of->Http);
    Server->Callbacks.Gone(Id);
  }

  static void onClose(evhttp_connection *, void *Context) {
    auto *Of = static_cast<Connection *>(Context);
    Impl *Server = Of->Server;
    if (Of->Receiving && !Of->Refused && !Server->Stopping)
      Of->refuse(408);
    Server->ByHttp.erase(Of->Http);
    if (Of->Id != 0)
      Server->ById.erase(Of->Id);
    // The buffers outlive the record while evhttp frees the connection.
    evbuffer_remove_cb(bufferevent_get_input(Of->Stream), onInput, Of);
    evbuffer_remove_cb(bufferevent_get_output(Of->Stream), onOutput, Of);
    delete Of;
  }

  // Requests ------------------------------------------------------------------

  static void onRequest(evhttp_request *Request, void *Self) {
    static_cast<Impl *>(Self)->handle(Request);
  }

  void handle(evhttp_request *Request) {
    auto Found = this->ByHttp.find(evhttp_request_get_connection(Request));
    if (Found == this->ByHttp.end()) {
      evhttp_send_error(Request, 500, nullptr);
      return;
    }
    Connection &Of = *Found->second;
    Of.Receiving = false;
    Of.Request = Request;
    Of.Id = this->NextId++;
    this->ById[Of.Id] = &Of;
    const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
    if (internal::hasAmbiguousFraming(*Headers)) {
      ++this->Refusals;
      // Where the request ends is not certain, so nothing after it is read.
      evhttp_add_header(evhttp_request_get_output_headers(Request),
                        "Connection", "close");
      this->reply(Of.Id, {400,
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
        .Host = hostOf(*Headers),
        .Headers = internal::endToEndHeaders(*Headers),
        .Body = std::string(evbuffer_get_length(Body), '\0'),
        .FirstByteAt = Of.FirstByteAt,
        .FromLoopback = isLoopback(Of.Http)};
    evbuffer_remove(Body, Incoming.Body.data(), Incoming.Body.size());
    this->Callbacks.Received(Of.Id, std::move(Incoming));
  }

  std::optional<Duration> reply(std::uint64_t Id,
                                const requests::HttpAnswer &Answer) {
    auto Found = this->ById.find(Id);
    if (Found == this->ById.end())
      return std::nullopt;
    Connection &Of = *Found->second;
    this->ById.erase(Found);
    Duration Took = readClock() - Of.FirstByteAt;
    evhttp_request *Request = std::exchange(Of.Request, nullptr);
    Of.Id = 0;
    evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
    internal::addHeaders(*Headers, Answer.Headers);
    bool Head = evhttp_request_get_command(Request) == EVHTTP_REQ_HEAD;
    if (Head)
      addLengthForHead(*Headers, Answer);
    if (this->Stopping)
      evhttp_add_header(Headers, "Connection", "close");
    evbuffer *Body = evhttp_request_get_output_buffer(Request);
    // evhttp would send the body of an answer to HEAD.
    if (!Head)
      evbuffer_add(Body, Answer.Body.data(), Answer.Body.size());
    int Status =
        Answer.Status >= 200 && Answer.Status <= 599 ? Answer.Status : 502;
    std::string Reason(internal::reasonOf(Status));
    Of.Replying = true;
    evhttp_send_reply(Request, Status, Reason.c_str(), nullptr);
    Of.Replying = false;
    // What a pipelining caller sent meanwhile belongs to its next request.
    Of.HeadersComplete = false;
    Of.HeaderBytes = 0;
    evbuffer *Input = bufferevent_get_input(Of.Stream);
    if (std::size_t Waiting = evbuffer_get_length(Input))
      Of.noteInput(Input, Waiting);
    return Took;
  }

  absl::Status listen() {
    this->AcceptedEvent.reset(event_new(
        this->Base, -1, 0,
        [](evutil_socket_t, short, void *Self) {
          static_cast<Impl *>(Self)->setUpAccepted();
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

HttpServer::HttpServer(std::unique_ptr<Impl> Own) : Own(std::move(Own)) {}

HttpServer::~HttpServer() = default;

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::open(event_base *Base, HttpServerOptions Options,
                 HttpServerCallbacks Callbacks) {
  auto Own = std::make_unique<Impl>();
  Own->Base = Base;
  Own->Options = std::move(Options);
  Own->Callbacks = std::move(Callbacks);
  if (absl::Status Listening = Own->listen(); !Listening.ok())
    return Listening;
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(Own)));
}

std::optional<Duration> HttpServer::reply(std::uint64_t Id,
                                          const requests::HttpAnswer &Answer) {
  return this->Own->reply(Id, Answer);
}

requests::HttpAnswer errorAnswer(int Status, const absl::Status &Error) {
  // The message repeats step and peer, which have fields of their own.
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

std::size_t HttpServer::openRequests() const { return this->Own->ById.size(); }

std::uint64_t HttpServer::refusedRequests() const {
  return this->Own->Refusals;
}

void HttpServer::setIdleTimeout(std::chrono::seconds Timeout) {
  evhttp_set_timeout(this->Own->Server, static_cast<int>(Timeout.count()));
}

void HttpServer::stopAccepting() {
  this->Own->Stopping = true;
  if (auto *Listener = std::exchange(this->Own->Listener, nullptr))
    evhttp_del_accept_socket(this->Own->Server, Listener);
}

} // namespace orioledoor::wire
