// Derives the identity of a node process from its settings.
#include "orioledoor/daemon/identity.h"

#include <algorithm>
#include <iterator>
#include <random>

#include "orioledoor/catalogue/parse_endpoint.h"
#include "orioledoor/catalogue/settings.h"

namespace orioledoor::daemon {

std::uint64_t randomSeed() {
  std::random_device Entropy;
  return (static_cast<std::uint64_t>(Entropy()) << 32) | Entropy();
}

std::string formatPeerAddress(const Endpoint &Address) {
  return "tcp://" + formatEndpoint(Address);
}

ownership::LocalNode makeLocalNode(const Settings &NodeSettings) {
  ownership::LocalNode Result{.Name = NodeSettings.NodeName,
                              .PeerAddress =
                                  formatPeerAddress(NodeSettings.Peer),
                              .HttpAddress = formatEndpoint(NodeSettings.Http),
                              .Region = NodeSettings.Region,
                              .FailureDomain = NodeSettings.FailureDomain,
                              .Seed = randomSeed(),
                              .Seeds = {}};
  std::ranges::transform(NodeSettings.Seeds, std::back_inserter(Result.Seeds),
                         formatPeerAddress);
  return Result;
}

} // namespace orioledoor::daemon
