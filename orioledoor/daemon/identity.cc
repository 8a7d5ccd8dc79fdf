// Derives a node's identity from its settings.
#include "orioledoor/daemon/identity.h"

#include <algorithm>
#include <iterator>
#include <random>

#include "orioledoor/catalogue/parse_endpoint.h"
#include "orioledoor/catalogue/settings.h"

namespace orioledoor::daemon {

std::uint64_t randomNumber() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

std::string peerAddress(const Endpoint &Of) {
  return "tcp://" + formatEndpoint(Of);
}

ownership::LocalNode localNode(const Settings &Own) {
  ownership::LocalNode Result{.Name = Own.NodeName,
                              .PeerAddress = peerAddress(Own.Peer),
                              .HttpAddress = formatEndpoint(Own.Http),
                              .Region = Own.Region,
                              .FailureDomain = Own.FailureDomain,
                              .Seed = randomNumber(),
                              .Seeds = {}};
  std::ranges::transform(Own.Seeds, std::back_inserter(Result.Seeds),
                         peerAddress);
  return Result;
}

} // namespace orioledoor::daemon
