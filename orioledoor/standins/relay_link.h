// A TCP relay from one port of 127.0.0.1 to another that can be cut, silenced
// or delayed.
//
//   RelayLink Link(Events, 22010, "127.0.0.1:22020");
//   Link.setFaults({{"cut", true}});
//
// Faults:
//   cut          true: connections are closed and refused
//   silent       true: bytes are held in both directions, connections stay open
//   silence_open true: connections that are open now stay silent for good
//   hold         "none", "to" (towards the target port), "from" or "both":
//                bytes of that direction are held while it is set
//   delay_ms     bytes arrive this much later
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
  std::size_t openConnections() const { return this->Pairs.size(); }
  void setFaults(const nlohmann::json &Faults);

private:
  struct Pair;
  struct Direction;

  void listen();
  void accept(std::intptr_t Socket);
  void received(Direction &From);
  void pump(Direction &From);
  void closed(Direction &From);
  void remove(Pair &Closed);
  bool isHeld(const Direction &From) const;

  Loop &Events;
  std::uint16_t Port;
  std::string Host;
  std::uint16_t TargetPort = 0;
  evconnlistener *Listener = nullptr;
  std::list<std::unique_ptr<Pair>> Pairs;
  bool Cut = false;
  bool HoldTo = false;
  bool HoldFrom = false;
  Duration Delay{0};
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_RELAY_LINK_H
