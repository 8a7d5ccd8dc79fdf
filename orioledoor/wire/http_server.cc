// Implements HttpServer: the listener, the connections and the ids of their
// requests.
#include "orioledoor/wire/http_server.h"

#include <cerrno>
#include <cstring>
#include <span>
#include <unordered_map>
#include <utility>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "orioledoor/base/error.h"
#include "orioledoor/wire/internal/event_ptr.h"
#include "orioledoor/wire/internal/http_headers.h"
#include "orioledoor/wire/internal/server_connection.h"

namespace orioledoor::wire {
namespace {

using internal::ServerConnection;

// Connections that wait to be accepted.
constexpr int ListenBacklog = 128;
// Time without a tick after which the loop may have stood still.
constexpr Duration MaxTickGap = std::chrono::milliseconds(100);
// Pause after a failed accept. The reason is mostly a lack of descriptors, and
// the listener would report it again at once.
constexpr std::int64_t AcceptPauseMicros = 50'000;

bool isLoopback(const sockaddr *Address) {
  if (Address->sa_family == AF_INET) {
    const auto *SocketAddress = reinterpret_cast<const sockaddr_in *>(Address);
    return (ntohl(SocketAddress->sin_addr.s_addr) >> 24) == 127;
  }
  const auto *SocketAddress = reinterpret_cast<const sockaddr_in6 *>(Address);
  return Address->sa_family == AF_INET6 &&
         IN6_IS_ADDR_LOOPBACK(&SocketAddress->sin6_addr);
}

struct ListenerDeleter {
  void operator()(evconnlistener *Listener) const {
    evconnlistener_free(Listener);
  }
};

struct AddressDeleter {
  void operator()(evutil_addrinfo *Address) const {
    evutil_freeaddrinfo(Address);
  }
};

} // namespace

struct HttpServer::Impl final : internal::ServerConnectionOwner {
  event_base *Base = nullptr;
  HttpServerOptions Options;
  HttpServerCallbacks Callbacks;
  std::unique_ptr<evconnlistener, ListenerDeleter> Listener;
  internal::EventPtr AcceptTimer;
  std::unordered_map<ServerConnection *, std::unique_ptr<ServerConnection>>
      Connections;
  std::unordered_map<std::uint64_t, ServerConnection *> ConnectionsByRequestId;
  // Ended connections, which are destroyed by ReleaseEvent.
  std::vector<std::unique_ptr<ServerConnection>> Released;
  internal::EventPtr ReleaseEvent;
  std::uint64_t NextId = 1;
  std::uint64_t RejectedRequests = 0;
  // Bytes of bodies that count towards Options.MaxHeldBodyBytes.
  std::size_t HeldBodyBytes = 0;
  std::uint64_t AbandonedRequests = 0;
  std::optional<Instant> LastTickAt;
  // Requests that arrived during a delay may still be unread until then.
  Instant BacklogUntil;
  bool Stopping = false;

  // Connections
  // ---------------------------------------------------------------

  static void onAccept(evconnlistener *, evutil_socket_t Descriptor,
                       sockaddr *Address, int, void *Self) {
    auto *Server = static_cast<Impl *>(Self);
    int Enable = 1;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof Enable);
    bufferevent *Stream =
        bufferevent_socket_new(Server->Base, Descriptor, BEV_OPT_CLOSE_ON_FREE);
    if (!Stream) {
      evutil_closesocket(Descriptor);
      return;
    }
    auto Added = std::make_unique<ServerConnection>(
        *Server, Stream,
        internal::RequestLimits{Server->Options.MaxHeaderBytes,
                                Server->Options.MaxBodyBytes},
        Server->Options.IdleTimeout, isLoopback(Address));
    ServerConnection *Key = Added.get();
    Server->Connections[Key] = std::move(Added);
  }

  static void onAcceptError(evconnlistener *Listener, void *Self) {
    auto *Server = static_cast<Impl *>(Self);
    evconnlistener_disable(Listener);
    timeval Pause = internal::toTimeval(AcceptPauseMicros);
    evtimer_add(Server->AcceptTimer.get(), &Pause);
  }

  std::uint64_t addRequest(ServerConnection &Connection) override {
    this->ConnectionsByRequestId[this->NextId] = &Connection;
    return this->NextId++;
  }

  void handleRequest(std::uint64_t Id, IncomingRequest Request) override {
    this->Callbacks.OnRequest(Id, std::move(Request));
  }

  bool holdBodyBytes(std::size_t Bytes) override {
    this->HeldBodyBytes += Bytes;
    return this->HeldBodyBytes <= this->Options.MaxHeldBodyBytes;
  }

  void releaseBodyBytes(std::size_t Bytes) override {
    this->HeldBodyBytes -= Bytes;
  }

  void recordRejection() override { ++this->RejectedRequests; }

  void recordAbandoned() override { ++this->AbandonedRequests; }

  void release(ServerConnection &Connection,
               std::span<const std::uint64_t> OpenIds) override {
    for (std::uint64_t Id : OpenIds)
      this->ConnectionsByRequestId.erase(Id);
    auto Node = this->Connections.extract(&Connection);
    this->Released.push_back(std::move(Node.mapped()));
    event_active(this->ReleaseEvent.get(), 0, 0);
    for (std::uint64_t Id : OpenIds)
      this->Callbacks.OnDisconnect(Id);
  }

  bool isStopping() const override { return this->Stopping; }

  bool wasDelayed(Instant Now) const override {
    return this->LastTickAt &&
           (Now < this->BacklogUntil || Now - *this->LastTickAt > MaxTickGap);
  }

  void recordTick(Instant Now) {
    if (this->wasDelayed(Now) && Now >= this->BacklogUntil)
      this->BacklogUntil = Now + (Now - *this->LastTickAt);
    this->LastTickAt = Now;
  }

  // Requests
  // ------------------------------------------------------------------

  std::optional<Duration> reply(std::uint64_t Id,
                                const requests::HttpAnswer &Answer) {
    auto Found = this->ConnectionsByRequestId.extract(Id);
    if (Found.empty())
      return std::nullopt;
    return Found.mapped()->respond(Id, Answer);
  }

  // Returns the descriptor of a new listening socket.
  absl::StatusOr<evutil_socket_t> bindSocket() const {
    std::string Port = std::to_string(this->Options.Listen.Port);
    auto Fail = [&](const char *Why) {
      return makeError(absl::StatusCode::kUnavailable, "listen for callers",
                       this->Options.Listen.Host + ":" + Port, Why);
    };
    evutil_addrinfo Hints{};
    Hints.ai_family = AF_UNSPEC;
    Hints.ai_socktype = SOCK_STREAM;
    Hints.ai_flags = EVUTIL_AI_PASSIVE;
    evutil_addrinfo *Resolved = nullptr;
    if (int Error = evutil_getaddrinfo(this->Options.Listen.Host.c_str(),
                                       Port.c_str(), &Hints, &Resolved))
      return Fail(evutil_gai_strerror(Error));
    std::unique_ptr<evutil_addrinfo, AddressDeleter> Address(Resolved);
    evutil_socket_t Descriptor = socket(
        Address->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (Descriptor < 0)
      return Fail(std::strerror(errno));
    evutil_make_listen_socket_reuseable(Descriptor);
    if (bind(Descriptor, Address->ai_addr, Address->ai_addrlen) == 0)
      return Descriptor;
    int Error = errno;
    evutil_closesocket(Descriptor);
    return Fail(std::strerror(Error));
  }

  absl::Status listen() {
    absl::StatusOr<evutil_socket_t> Descriptor = this->bindSocket();
    if (!Descriptor.ok())
      return Descriptor.status();
    this->ReleaseEvent.reset(event_new(
        this->Base, -1, 0,
        [](evutil_socket_t, short, void *Self) {
          static_cast<Impl *>(Self)->Released.clear();
        },
        this));
    this->AcceptTimer.reset(evtimer_new(
        this->Base,
        [](evutil_socket_t, short, void *Self) {
          if (auto &Listener = static_cast<Impl *>(Self)->Listener)
            evconnlistener_enable(Listener.get());
        },
        this));
    this->Listener.reset(
        evconnlistener_new(this->Base, onAccept, this,
                           LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                           ListenBacklog, *Descriptor));
    if (!this->Listener) {
      evutil_closesocket(*Descriptor);
      return makeError(absl::StatusCode::kUnavailable, "listen for callers",
                       this->Options.Listen.Host + ":" +
                           std::to_string(this->Options.Listen.Port),
                       std::strerror(errno));
    }
    evconnlistener_set_error_cb(this->Listener.get(), onAcceptError);
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

std::size_t HttpServer::unsentConnections() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Pimpl->Connections, [](const auto &Entry) {
        return Entry.second->hasUnsentBytes();
      }));
}

std::uint64_t HttpServer::rejectedRequests() const {
  return this->Pimpl->RejectedRequests;
}

std::uint64_t HttpServer::abandonedRequests() const {
  return this->Pimpl->AbandonedRequests;
}

void HttpServer::setIdleTimeout(std::chrono::seconds Timeout) {
  this->Pimpl->Options.IdleTimeout = Timeout;
}

void HttpServer::recordTick(Instant Now) { this->Pimpl->recordTick(Now); }

void HttpServer::stopAccepting() {
  this->Pimpl->Stopping = true;
  this->Pimpl->Listener.reset();
}

} // namespace orioledoor::wire
