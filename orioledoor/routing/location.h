// Location of a VM.
//
//   Location Place{"bilbao", "cantabrico"};
#ifndef ORIOLEDOOR_ROUTING_LOCATION_H
#define ORIOLEDOOR_ROUTING_LOCATION_H

#include <string>

namespace orioledoor::routing {

struct Location {
  std::string FailureDomain;
  std::string Region;

  friend bool operator==(const Location &, const Location &) = default;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_LOCATION_H
