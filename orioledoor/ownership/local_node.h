// What a node knows about itself from its settings. Fixed for the life of the
// process.
#ifndef ORIOLEDOOR_OWNERSHIP_LOCAL_NODE_H
#define ORIOLEDOOR_OWNERSHIP_LOCAL_NODE_H

#include <cstdint>
#include <string>
#include <vector>

namespace orioledoor::ownership {

struct LocalNode {
  std::string Name;
  // "tcp://IP:PORT"
  std::string PeerAddress;
  // "IP:PORT"
  std::string HttpAddress;
  std::string Region;
  std::string FailureDomain;
  // Random, from the shell; seeds the tokens and choices of the reducer.
  std::uint64_t Seed = 0;
  // Peer addresses from the settings, "tcp://IP:PORT". May be empty.
  std::vector<std::string> Seeds;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_LOCAL_NODE_H
