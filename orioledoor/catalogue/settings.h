// Settings of one node process, read from its YAML file at start.
#ifndef ORIOLEDOOR_CATALOGUE_SETTINGS_H
#define ORIOLEDOOR_CATALOGUE_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

namespace orioledoor {

// An IP number and a port.
struct Endpoint {
  std::string Host;
  std::uint16_t Port = 0;
};

struct Settings {
  // Unique among the nodes that run at the same time.
  std::string NodeName;
  std::string Region;
  std::string FailureDomain;
  // Callers, the target and operators connect here (HTTP).
  Endpoint Http;
  // Other nodes connect here (nng over TCP).
  Endpoint Peer;
  // The platform's key-value service (HTTP).
  Endpoint Store;
  // Peer endpoints to ask while the store is down. May be empty.
  std::vector<Endpoint> Seeds;
  // One of debug, info, warn, error.
  std::string LogLevel = "info";
};

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_SETTINGS_H
