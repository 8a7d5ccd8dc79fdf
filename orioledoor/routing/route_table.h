// Configuration of the request path: routes by host and path prefix, the
// services behind them and the limits for callers.
//
//   const Route *Found = Table.find("desk.example", "/licences/7?full=1");
//   if (!Found) ... // 404
#ifndef ORIOLEDOOR_ROUTING_ROUTE_TABLE_H
#define ORIOLEDOOR_ROUTING_ROUTE_TABLE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// A service and its weight among the services of a route.
struct WeightedService {
  std::string Service{};
  // Relative to the other services of the route; above 0.
  double Weight = 1;

  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

// Route for requests to one host whose path starts with Prefix.
struct Route {
  std::string Name{};
  std::string Host{};
  // Starts and ends with a slash.
  std::string Prefix{};
  // Never empty.
  std::vector<WeightedService> Services{};
  // Requests may run more than once.
  bool Idempotent = false;
  // Maximum time that a caller waits for its answer; 0 if unlimited.
  Duration Timeout{0};
  // Latency target: an answer within this time has its full value; 0 if not
  // stated.
  Duration TargetLatency{0};
  // 0 is the most urgent.
  int Priority = 0;
  // Maximum number of targets that one attempt of a caller may be sent to; at
  // least 1.
  int Attempts = 1;
  // Regions in which requests may run and in which their bodies may be stored;
  // empty if all may.
  std::vector<std::string> AllowedRegions{};
};

struct ServicePolicy {
  std::string Name{};
  std::string HealthPath{};
  // Maximum number of connections that a target accepts from all callers
  // together; 0 if unlimited.
  std::uint32_t MaxConnections = 0;
  // Each key is served by exactly one target.
  bool Partitioned = false;
  // Requests per second that a target tolerates while it is cold; 0 if it is
  // not limited.
  double ColdRequestsPerSecond = 0;
  // Time for which a target is cold after its start.
  Duration ColdTime{0};
};

// Limits for callers' requests.
struct CallerLimits {
  std::size_t MaxHeaderBytes = 16U << 10;
  std::size_t MaxBodyBytes = 64U << 20;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

// Immutable after finish(). Each request keeps the table that was in force when
// it arrived.
class RouteTable {
public:
  // Increases with every change by the operator; 0 if no configuration was
  // received.
  std::uint64_t Version = 0;
  // Source text of the configuration, for nodes that cannot reach the store.
  std::string Document;
  CallerLimits Limits;
  std::map<std::string, ServicePolicy, std::less<>> Services;

  // Adds a route. Call finish() after the last one.
  void add(Route Added) { this->Routes.push_back(std::move(Added)); }
  // Sorts the routes for find().
  void finish();

  // Returns the route of Host with the longest prefix that matches the path of
  // Target, or null if there is none. The port and the case of Host are
  // ignored. Logarithmic in the number of routes, times the depth of the path.
  const Route *find(std::string_view Host, std::string_view Target) const;
  const std::vector<Route> &routes() const { return this->Routes; }
  const ServicePolicy *service(std::string_view Name) const;

private:
  // Invariant after finish(): sorted by host, then by prefix.
  std::vector<Route> Routes;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_ROUTE_TABLE_H
