// A TCP relay from one port of 127.0.0.1 to another that can be cut, silenced
// or delayed.
//
//   RelayLink Link(Events, 22010, "127.0.0.1:22020");
//   Link.setFaults({{"cut", true}});
//
// Faults:
//   cut          true: connections are closed and refused
//   silent       true: bytes of both directions are held, connections stay open
//   silence_open true: connections that are open now never carry bytes again
//   hold         "none", "to" (towards the target port), "from" or "both":
//                bytes of that direction are held while this is set
//   delay_ms     delay of all bytes
// Held bytes are delivered when the fault ends, as TCP would do.
#ifndef ORIOLEDOOR_STANDINS_RELAY_LINK_H
#define ORIOLEDOOR_STANDINS_RELAY_LINK_H

#include <cstdint>
#include <list>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "orioledoor/base/instant.h"

struct evconnlistener;

namespace orioledoor::standins {

class Loop;

// Not thread-safe.
class RelayLink {
public:
  // Port 0 means any free port. Target is "IP:PORT". Ends the process with a
  // message if the port is taken.
  RelayLink(Loop &Events, std::uint16_t Port, std::string_view Target);
  ~RelayLink();
  RelayLink(const RelayLink &) = delete;
  RelayLink &operator=(const RelayLink &) = delete;

  std::uint16_t port() const { return this->Port; }
  std::size_t openConnections() const { return this->Connections.size(); }
  void setFaults(const nlohmann::json &Faults);

private:
  struct RelayedConnection;
  struct Direction;

  void listen();
  void accept(std::intptr_t Socket);
  void handleReceived(Direction &Dir);
  void forwardDueBytes(Direction &Dir);
  void handleSourceClosed(Direction &Dir);
  void removeConnection(RelayedConnection &Closed);
  bool isHeld(const Direction &Dir) const;

  Loop &Events;
  std::uint16_t Port;
  std::string Host;
  std::uint16_t TargetPort = 0;
  evconnlistener *Listener = nullptr;
  std::list<std::unique_ptr<RelayedConnection>> Connections;
  bool Cut = false;
  bool HoldToTarget = false;
  bool HoldFromTarget = false;
  Duration Delay{0};
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_RELAY_LINK_H
