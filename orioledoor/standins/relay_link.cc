// Each relayed connection is a pair of bufferevents with a queue of bytes and
// their delivery times in each direction.
#include "orioledoor/standins/relay_link.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cstdlib>
#include <deque>
#include <iostream>
#include <nlohmann/json.hpp>
#include <tuple>

#include "orioledoor/standins/json_poster.h"
#include "orioledoor/standins/loop.h"

namespace orioledoor::standins {
namespace {

// Above this many queued bytes in one direction the relay stops reading from
// the sender, as the buffers of a real path would; bounds the memory of a held
// link.
constexpr std::size_t MaxPendingBytes = 1 << 20;

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  return Address;
}

} // namespace

// The bytes that one end of a connection sends to the other.
struct RelayLink::Direction {
  struct Chunk {
    Instant Due;
    std::string Bytes;
  };

  RelayLink *Link = nullptr;
  RelayedConnection *Connection = nullptr;
  bufferevent *Source = nullptr;
  bufferevent *Sink = nullptr;
  bool IsToTarget = false;
  std::deque<Chunk> Pending;
  std::size_t PendingBytes = 0;
  // The source has closed; the sink is closed once Pending is empty.
  bool SourceClosed = false;
};

struct RelayLink::RelayedConnection {
  RelayedConnection() = default;
  RelayedConnection(const RelayedConnection &) = delete;
  RelayedConnection &operator=(const RelayedConnection &) = delete;
  ~RelayedConnection() {
    bufferevent_free(this->ToTarget.Source);
    bufferevent_free(this->FromTarget.Source);
  }

  std::list<std::unique_ptr<RelayedConnection>>::iterator Position;
  Direction ToTarget;
  Direction FromTarget;
  bool Silenced = false;
  // Expires with the connection; timers check it before they use the
  // connection.
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

RelayLink::RelayLink(Loop &Events, std::uint16_t Port, std::string_view Target)
    : Events(Events), Port(Port) {
  std::tie(this->Host, this->TargetPort) = splitPeer(Target);
  this->listen();
}

RelayLink::~RelayLink() {
  if (this->Listener)
    evconnlistener_free(this->Listener);
}

void RelayLink::listen() {
  sockaddr_in Address = loopback(this->Port);
  this->Listener = evconnlistener_new_bind(
      this->Events.base(),
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
         void *Self) { static_cast<RelayLink *>(Self)->accept(Socket); },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  if (!this->Listener) {
    std::cerr << "port " << this->Port << " of 127.0.0.1 cannot be bound\n";
    std::exit(1);
  }
  socklen_t Size = sizeof(Address);
  getsockname(evconnlistener_get_fd(this->Listener),
              reinterpret_cast<sockaddr *>(&Address), &Size);
  this->Port = ntohs(Address.sin_port);
}

void RelayLink::accept(std::intptr_t Socket) {
  auto Owned = std::make_unique<RelayedConnection>();
  RelayedConnection &Opened = *Owned;
  event_base *Base = this->Events.base();
  bufferevent *Caller = bufferevent_socket_new(
      Base, static_cast<evutil_socket_t>(Socket), BEV_OPT_CLOSE_ON_FREE);
  bufferevent *Callee = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
  Opened.ToTarget = {this, &Opened, Caller, Callee, true, {}, 0, false};
  Opened.FromTarget = {this, &Opened, Callee, Caller, false, {}, 0, false};
  Opened.Position =
      this->Connections.insert(this->Connections.end(), std::move(Owned));
  for (Direction *Side : {&Opened.ToTarget, &Opened.FromTarget}) {
    bufferevent_setcb(
        Side->Source,
        [](bufferevent *, void *Argument) {
          auto *Dir = static_cast<Direction *>(Argument);
          Dir->Link->handleReceived(*Dir);
        },
        nullptr,
        [](bufferevent *, short What, void *Argument) {
          auto *Dir = static_cast<Direction *>(Argument);
          if (What & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            Dir->Link->handleSourceClosed(*Dir);
        },
        Side);
    bufferevent_enable(Side->Source, EV_READ | EV_WRITE);
  }
  sockaddr_in Address = loopback(this->TargetPort);
  inet_pton(AF_INET, this->Host.c_str(), &Address.sin_addr);
  bufferevent_socket_connect(Callee, reinterpret_cast<sockaddr *>(&Address),
                             sizeof(Address));
  int On = 1;
  setsockopt(static_cast<evutil_socket_t>(Socket), IPPROTO_TCP, TCP_NODELAY,
             &On, sizeof(On));
  setsockopt(bufferevent_getfd(Callee), IPPROTO_TCP, TCP_NODELAY, &On,
             sizeof(On));
}

void RelayLink::handleReceived(Direction &Dir) {
  evbuffer *Input = bufferevent_get_input(Dir.Source);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  Dir.PendingBytes += Bytes.size();
  Dir.Pending.push_back({readClock() + this->Delay, std::move(Bytes)});
  if (Dir.PendingBytes > MaxPendingBytes)
    bufferevent_disable(Dir.Source, EV_READ);
  this->forwardDueBytes(Dir);
}

bool RelayLink::isHeld(const Direction &Dir) const {
  return Dir.Connection->Silenced ||
         (Dir.IsToTarget ? this->HoldToTarget : this->HoldFromTarget);
}

void RelayLink::forwardDueBytes(Direction &Dir) {
  if (this->isHeld(Dir))
    return;
  Instant Now = readClock();
  while (!Dir.Pending.empty() && Dir.Pending.front().Due <= Now) {
    const std::string &Bytes = Dir.Pending.front().Bytes;
    bufferevent_write(Dir.Sink, Bytes.data(), Bytes.size());
    Dir.PendingBytes -= Bytes.size();
    Dir.Pending.pop_front();
  }
  if (Dir.PendingBytes <= MaxPendingBytes && !Dir.SourceClosed)
    bufferevent_enable(Dir.Source, EV_READ);
  if (!Dir.Pending.empty())
    return this->Events.after(
        Dir.Pending.front().Due - Now,
        [this, &Dir, Token = std::weak_ptr(Dir.Connection->LifetimeToken)] {
          if (!Token.expired())
            this->forwardDueBytes(Dir);
        });
  if (Dir.SourceClosed)
    this->removeConnection(*Dir.Connection);
}

void RelayLink::handleSourceClosed(Direction &Dir) {
  // The close takes effect after the queued bytes and is held and delayed with
  // them.
  Dir.SourceClosed = true;
  bufferevent_disable(Dir.Source, EV_READ);
  this->forwardDueBytes(Dir);
}

void RelayLink::removeConnection(RelayedConnection &Closed) {
  auto HasUnsentBytes = [](const Direction &Side) {
    return Side.SourceClosed &&
           evbuffer_get_length(bufferevent_get_output(Side.Sink)) > 0;
  };
  if (!HasUnsentBytes(Closed.ToTarget) && !HasUnsentBytes(Closed.FromTarget)) {
    this->Connections.erase(Closed.Position);
    return;
  }
  // Freeing a bufferevent discards its output buffer, so wait until it is sent.
  this->Events.after(
      std::chrono::milliseconds(5),
      [this, &Closed, Token = std::weak_ptr(Closed.LifetimeToken)] {
        if (!Token.expired())
          this->removeConnection(Closed);
      });
}

void RelayLink::setFaults(const nlohmann::json &Faults) {
  if (Faults.contains("silent")) {
    bool Silent = Faults.at("silent").get<bool>();
    this->HoldToTarget = Silent;
    this->HoldFromTarget = Silent;
  }
  if (Faults.contains("hold")) {
    auto Held = Faults.at("hold").get<std::string>();
    this->HoldToTarget = Held == "to" || Held == "both";
    this->HoldFromTarget = Held == "from" || Held == "both";
  }
  this->Delay = std::chrono::milliseconds(
      Faults.value("delay_ms", this->Delay.count() / 1000));
  if (Faults.value("silence_open", false))
    for (auto &Open : this->Connections)
      Open->Silenced = true;
  bool WasCut = this->Cut;
  this->Cut = Faults.value("cut", this->Cut);
  if (this->Cut && !WasCut) {
    evconnlistener_free(this->Listener);
    this->Listener = nullptr;
    this->Connections.clear();
  } else if (WasCut && !this->Cut) {
    this->listen();
  }
  for (auto At = this->Connections.begin(); At != this->Connections.end();) {
    // forwardDueBytes() may remove the connection.
    RelayedConnection &Open = **At++;
    std::weak_ptr<bool> Token = Open.LifetimeToken;
    this->forwardDueBytes(Open.ToTarget);
    if (!Token.expired())
      this->forwardDueBytes(Open.FromTarget);
  }
}

} // namespace orioledoor::standins
