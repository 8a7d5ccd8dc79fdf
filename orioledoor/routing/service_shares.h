// Divides the requests of a route among its services by their weights.
//
//   ServiceShares Shares(Process);
//   const std::string &Service = Shares.pick(Route);
//   Shares.retain(Table);   // after a change of the configuration
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

// Smooth weighted round robin: the parts of a route alternate, and over a cycle
// each gets exactly its share. Not thread-safe; linear in the parts.
class ServiceShares {
public:
  // Seed differs between nodes, which then begin at different points of the
  // cycle: otherwise their first requests would all go to the same part.
  explicit ServiceShares(std::uint64_t Seed) : Seed(Seed) {}

  // The service of the next request. Goes on where the route was, as long as
  // its parts stay the same. The result lives as long as Of.
  const std::string &pick(const Route &Of);
  // Forgets routes that Table does not have.
  void retain(const RouteTable &Table);

private:
  struct Cycle {
    std::string Host;
    std::string Prefix;
    std::vector<WeightedService> Parts;
    // What each part is owed, in units of its weight; adds up to 0.
    std::vector<double> Owed;

    std::size_t next();
  };

  std::uint64_t Seed;
  // By host and prefix.
  std::map<std::string, Cycle> Cycles;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_SERVICE_SHARES_H
