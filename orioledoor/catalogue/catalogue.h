// The operators' catalogue: services with owner, class and limits, the state
// of regions, and the weights of the placement cost. Plain values, filled by
// parseCatalogue (catalogue/parse_catalogue.h) and never changed afterwards.
#ifndef ORIOLEDOOR_CATALOGUE_CATALOGUE_H
#define ORIOLEDOOR_CATALOGUE_CATALOGUE_H

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/base/ids.h"

namespace orioledoor {

// Order in which work is shed under overload: Batch first, Critical last.
enum class ServiceClass { Critical, Standard, Batch };

// Limits of one service. They hold as a sum over all nodes.
struct ServiceLimits {
  // 0 means unlimited.
  double RequestsPerSecond = 0;
  std::uint64_t MaxBodyBytes = 1 << 20;
  std::chrono::milliseconds MaxTimeout{30'000};
  // Requests a UTC day; 0 means unlimited.
  std::uint64_t SpendPerDay = 0;
  // Share of requests that may be retries, 0 to 1.
  double RetryRatio = 0.1;
  std::uint32_t MaxTries = 3;
};

struct ServiceEntry {
  std::string Name;
  // Derived: serviceIdOf(Name).
  ServiceId Id;
  // The organisation or team that answers for the entry.
  std::string Owner;
  ServiceClass Class = ServiceClass::Standard;
  bool DividedByKey = false;
  // A power of two, 1 to 65536. May not change once recorded.
  std::uint32_t Slices = 4096;
  ServiceLimits Limits;
  // Methods that may run more than once; GET and HEAD are always among them.
  std::vector<std::string> IdempotentMethods{"GET", "HEAD"};
};

// Lost: an operator declares that every VM of the region is gone.
enum class RegionState { Active, Lost };

struct RegionEntry {
  std::string Name;
  RegionState State = RegionState::Active;
};

// Weights of the placement cost; dimensionless, not negative.
struct PlacementWeights {
  double Imbalance = 1;
  double Churn = 1;
  double Unavailable = 1;
};

struct Catalogue {
  std::string Deployment;
  std::vector<ServiceEntry> Services;
  std::vector<RegionEntry> Regions;
  PlacementWeights Weights;

  // The entry of the service, or null. Linear in the number of services.
  const ServiceEntry *find(ServiceId Id) const;
  const ServiceEntry *find(std::string_view Name) const;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_CATALOGUE_H
