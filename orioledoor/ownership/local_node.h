// Identity of the local node from its settings. Constant while the process
// runs.
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
  // Random seed from the event loop, for the reducer's tokens and random
  // choices.
  std::uint64_t Seed = 0;
  // Addresses of seed peers from the settings, "tcp://IP:PORT". May be empty.
  std::vector<std::string> Seeds;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_LOCAL_NODE_H
