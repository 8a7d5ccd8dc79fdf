// Settings of a node process, read from its YAML file at startup by
// parseSettings() (catalogue/parse_catalogue.h).
#ifndef ORIOLEDOOR_CATALOGUE_SETTINGS_H
#define ORIOLEDOOR_CATALOGUE_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

namespace orioledoor {

// An IP address and a port.
struct Endpoint {
  std::string Host;
  std::uint16_t Port = 0;

  friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

struct Settings {
  // Unique among the nodes that run at the same time.
  std::string NodeName;
  std::string Region;
  std::string FailureDomain;
  // Listener for callers, the target and operators (HTTP).
  Endpoint Http;
  // Listener for other nodes (nng over TCP).
  Endpoint Peer;
  // The platform's key-value store (HTTP).
  Endpoint Store;
  // Peer endpoints of nodes to contact while the store is unavailable. May be
  // empty.
  std::vector<Endpoint> Seeds;
  // One of debug, info, warn, error.
  std::string LogLevel = "info";
};

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_SETTINGS_H
