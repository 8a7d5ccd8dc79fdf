// Pairs of bufferevents with a queue of due bytes in each direction.
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

// Bytes that wait in one direction before its sender is stopped, like the
// buffers of a real path; a silenced link must not fill the memory.
constexpr std::size_t MaxWaiting = 1 << 20;

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  return Address;
}

} // namespace

// The bytes that one end sends.
struct RelayLink::Direction {
  struct Chunk {
    Instant Due;
    std::string Bytes;
  };

  RelayLink *Link = nullptr;
  Pair *Owner = nullptr;
  bufferevent *Source = nullptr;
  bufferevent *Sink = nullptr;
  bool IsTo = false;
  std::deque<Chunk> Waiting;
  std::size_t WaitingBytes = 0;
  // The source closed; the sink is closed once Waiting is empty.
  bool Ended = false;
};

struct RelayLink::Pair {
  Pair() = default;
  Pair(const Pair &) = delete;
  Pair &operator=(const Pair &) = delete;
  ~Pair() {
    bufferevent_free(this->To.Source);
    bufferevent_free(this->From.Source);
  }

  std::list<std::unique_ptr<Pair>>::iterator Position;
  Direction To;
  Direction From;
  bool Silenced = false;
  // Expires with the pair; timers check it first.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
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
  auto Owned = std::make_unique<Pair>();
  Pair &Opened = *Owned;
  event_base *Base = this->Events.base();
  bufferevent *Caller = bufferevent_socket_new(
      Base, static_cast<evutil_socket_t>(Socket), BEV_OPT_CLOSE_ON_FREE);
  bufferevent *Callee = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
  Opened.To = {this, &Opened, Caller, Callee, true, {}, 0, false};
  Opened.From = {this, &Opened, Callee, Caller, false, {}, 0, false};
  Opened.Position = this->Pairs.insert(this->Pairs.end(), std::move(Owned));
  for (Direction *Side : {&Opened.To, &Opened.From}) {
    bufferevent_setcb(
        Side->Source,
        [](bufferevent *, void *Argument) {
          auto *From = static_cast<Direction *>(Argument);
          From->Link->received(*From);
        },
        nullptr,
        [](bufferevent *, short What, void *Argument) {
          auto *From = static_cast<Direction *>(Argument);
          if (What & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            From->Link->closed(*From);
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

void RelayLink::received(Direction &From) {
  evbuffer *Input = bufferevent_get_input(From.Source);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  From.WaitingBytes += Bytes.size();
  From.Waiting.push_back({readClock() + this->Delay, std::move(Bytes)});
  if (From.WaitingBytes > MaxWaiting)
    bufferevent_disable(From.Source, EV_READ);
  this->pump(From);
}

bool RelayLink::isHeld(const Direction &From) const {
  return From.Owner->Silenced || (From.IsTo ? this->HoldTo : this->HoldFrom);
}

void RelayLink::pump(Direction &From) {
  if (this->isHeld(From))
    return;
  Instant Now = readClock();
  while (!From.Waiting.empty() && From.Waiting.front().Due <= Now) {
    const std::string &Bytes = From.Waiting.front().Bytes;
    bufferevent_write(From.Sink, Bytes.data(), Bytes.size());
    From.WaitingBytes -= Bytes.size();
    From.Waiting.pop_front();
  }
  if (From.WaitingBytes <= MaxWaiting && !From.Ended)
    bufferevent_enable(From.Source, EV_READ);
  if (!From.Waiting.empty())
    return this->Events.after(
        From.Waiting.front().Due - Now,
        [this, &From, Token = std::weak_ptr(From.Owner->Alive)] {
          if (!Token.expired())
            this->pump(From);
        });
  if (From.Ended)
    this->remove(*From.Owner);
}

void RelayLink::closed(Direction &From) {
  // The close follows the bytes before it and is held like them.
  From.Ended = true;
  bufferevent_disable(From.Source, EV_READ);
  this->pump(From);
}

void RelayLink::remove(Pair &Closed) {
  auto Unsent = [](const Direction &Side) {
    return Side.Ended &&
           evbuffer_get_length(bufferevent_get_output(Side.Sink)) > 0;
  };
  if (!Unsent(Closed.To) && !Unsent(Closed.From)) {
    this->Pairs.erase(Closed.Position);
    return;
  }
  // What has been written to a sink is sent before the pair is freed.
  this->Events.after(std::chrono::milliseconds(5),
                     [this, &Closed, Token = std::weak_ptr(Closed.Alive)] {
                       if (!Token.expired())
                         this->remove(Closed);
                     });
}

void RelayLink::setFaults(const nlohmann::json &Faults) {
  if (Faults.contains("silent")) {
    bool Silent = Faults.at("silent").get<bool>();
    this->HoldTo = Silent;
    this->HoldFrom = Silent;
  }
  if (Faults.contains("hold")) {
    auto Held = Faults.at("hold").get<std::string>();
    this->HoldTo = Held == "to" || Held == "both";
    this->HoldFrom = Held == "from" || Held == "both";
  }
  this->Delay = std::chrono::milliseconds(
      Faults.value("delay_ms", this->Delay.count() / 1000));
  if (Faults.value("silence_open", false))
    for (auto &Open : this->Pairs)
      Open->Silenced = true;
  bool WasCut = this->Cut;
  this->Cut = Faults.value("cut", this->Cut);
  if (this->Cut && !WasCut) {
    evconnlistener_free(this->Listener);
    this->Listener = nullptr;
    this->Pairs.clear();
  } else if (WasCut && !this->Cut) {
    this->listen();
  }
  for (auto At = this->Pairs.begin(); At != this->Pairs.end();) {
    // pump() may remove the pair.
    Pair &Open = **At++;
    std::weak_ptr<bool> Token = Open.Alive;
    this->pump(Open.To);
    if (!Token.expired())
      this->pump(Open.From);
  }
}

} // namespace orioledoor::standins
