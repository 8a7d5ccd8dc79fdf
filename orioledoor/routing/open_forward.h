// A request that an entry node has sent to the node beside a target and that
// has no result yet.
#ifndef ORIOLEDOOR_ROUTING_OPEN_FORWARD_H
#define ORIOLEDOOR_ROUTING_OPEN_FORWARD_H

#include <cstdint>
#include <optional>
#include <string>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

struct OpenForward {
  // Peer address of the node; empty if there is no such forward.
  std::string Node{};
  std::uint64_t Id = 0;
  // Process id of the node when the Forward was sent; 0 if unknown.
  std::uint64_t ReceiverProcess = 0;
  Instant SentAt{};
  // The body has not been sent to the node, so the request cannot have run.
  bool BodyWithheld = false;
  // The node was asked for the state of the request.
  bool Asked = false;
  // Set while the node can't be asked: when to try again.
  std::optional<Instant> AskAgainAt{};
  // The node has ceased to be a member since the Forward was sent.
  bool NodeRemoved = false;

  bool isOpen() const { return !this->Node.empty(); }
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_OPEN_FORWARD_H
