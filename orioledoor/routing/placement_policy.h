// Answers whether a request may use a place, and why not: its route may allow
// only some regions, and failure domains may be evacuated.
//
//   PlacementPolicy Policy(Route.AllowedRegions, &Evacuations);
//   if (Policy.check(View.Place) != PlacementVerdict::Allowed) ... // skip it
#ifndef ORIOLEDOOR_ROUTING_PLACEMENT_POLICY_H
#define ORIOLEDOOR_ROUTING_PLACEMENT_POLICY_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace orioledoor::routing {

class EvacuatedDomains;
struct Location;
class RouteTable;

enum class PlacementVerdict : std::uint8_t {
  Allowed,
  // The route does not allow the region.
  RegionNotAllowed,
  // The failure domain is evacuated.
  Evacuated,
};

// A value type that refers to the regions and domains it was made from, which
// must outlive it. check() is linear in the number of allowed regions.
class PlacementPolicy {
public:
  // AllowedRegions: empty if all regions are. Evacuations: null if none are to
  // be considered.
  explicit PlacementPolicy(std::span<const std::string> AllowedRegions,
                           const EvacuatedDomains *Evacuations = nullptr)
      : AllowedRegions(AllowedRegions), Evacuations(Evacuations) {}

  PlacementVerdict check(const Location &Place) const;
  bool allowsRegion(std::string_view Region) const;

private:
  std::span<const std::string> AllowedRegions;
  const EvacuatedDomains *Evacuations;
};

// Returns the regions that all routes to Service allow, which may be none, or
// nullopt if a route to it, or the lack of one, leaves the regions unlimited.
// Linear in the number of routes.
std::optional<std::vector<std::string>>
commonAllowedRegions(const RouteTable &Table, std::string_view Service);

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_PLACEMENT_POLICY_H
