// Allowed regions and evacuated failure domains.
#include "orioledoor/routing/placement_policy.h"

#include <algorithm>

#include "orioledoor/routing/evacuated_domains.h"
#include "orioledoor/routing/location.h"
#include "orioledoor/routing/route_table.h"

namespace orioledoor::routing {

bool PlacementPolicy::allowsRegion(std::string_view Region) const {
  return this->AllowedRegions.empty() ||
         std::ranges::find(this->AllowedRegions, Region) !=
             this->AllowedRegions.end();
}

PlacementVerdict PlacementPolicy::check(const Location &Place) const {
  if (!this->allowsRegion(Place.Region))
    return PlacementVerdict::RegionNotAllowed;
  return this->Evacuations && this->Evacuations->contains(Place.FailureDomain)
             ? PlacementVerdict::Evacuated
             : PlacementVerdict::Allowed;
}

std::optional<std::vector<std::string>>
commonAllowedRegions(const RouteTable &Table, std::string_view Service) {
  std::optional<std::vector<std::string>> Common;
  for (const Route &Candidate : Table.routes()) {
    if (std::ranges::find(Candidate.Services, Service,
                          &WeightedService::Service) ==
        Candidate.Services.end())
      continue;
    if (Candidate.AllowedRegions.empty())
      return std::nullopt;
    if (!Common) {
      Common = Candidate.AllowedRegions;
      continue;
    }
    PlacementPolicy Policy(Candidate.AllowedRegions);
    std::erase_if(*Common, [&Policy](const std::string &Region) {
      return !Policy.allowsRegion(Region);
    });
  }
  return Common;
}

} // namespace orioledoor::routing
