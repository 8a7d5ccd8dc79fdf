// Distributes the requests of a route among its services by weight.
//
//   ServiceShares Shares(Process);
//   const std::string &Service = Shares.pick(Route);
//   Shares.retain(Table);   // after a configuration change
#ifndef ORIOLEDOOR_ROUTING_SERVICE_SHARES_H
#define ORIOLEDOOR_ROUTING_SERVICE_SHARES_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace orioledoor::routing {

struct Route;
struct WeightedService;
class RouteTable;

// Smooth weighted round robin: services alternate, and over a full cycle each
// gets exactly its share. Not thread-safe. pick() is linear in the number of
// services of the route.
class ServiceShares {
public:
  // Seed must differ between nodes: each node then starts at a different
  // position of the cycle. With the same position, the first request of every
  // node would go to the same service.
  explicit ServiceShares(std::uint64_t Seed) : Seed(Seed) {}

  // Returns the service for the next request. Continues the cycle of the route
  // as long as its services and weights are unchanged. The result is valid as
  // long as Matched.
  const std::string &pick(const Route &Matched);
  // Removes the state of routes that are not in Table.
  void retain(const RouteTable &Table);

private:
  struct Cycle {
    std::string Host;
    std::string Prefix;
    std::vector<WeightedService> Services;
    // Current weight of each service in the smooth weighted round robin; the
    // sum is 0.
    std::vector<double> CurrentWeights;

    std::size_t advance();
  };

  std::uint64_t Seed;
  // By host and prefix.
  std::map<std::string, Cycle> Cycles;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_SERVICE_SHARES_H
