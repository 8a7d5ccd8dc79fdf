// The catalogue that operators maintain: services with their owner, class and
// limits, the state of regions, and the weights of the placement cost function.
// These are plain value types. parseCatalogue() (catalogue/parse_catalogue.h)
// fills them; they do not change afterwards.
#ifndef ORIOLEDOOR_CATALOGUE_CATALOGUE_H
#define ORIOLEDOOR_CATALOGUE_CATALOGUE_H

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/base/ids.h"

namespace orioledoor {

// Priority of a service under overload: requests of Batch services are shed
// first, those of Critical services last.
enum class ServiceClass { Critical, Standard, Batch };

// Limits of one service. Rates and counts apply to all nodes together.
struct ServiceLimits {
  // 0 means unlimited.
  double RequestsPerSecond = 0;
  std::uint64_t MaxBodyBytes = 1 << 20;
  std::chrono::milliseconds MaxTimeout{30'000};
  // Requests per UTC day; 0 means unlimited.
  std::uint64_t SpendPerDay = 0;
  // Maximum ratio of retries to requests, from 0 to 1.
  double RetryRatio = 0.1;
  // Attempts per request, including the first.
  std::uint32_t MaxTries = 3;
};

struct ServiceEntry {
  std::string Name;
  // serviceIdOf(Name).
  ServiceId Id;
  // The organization or team that is responsible for the service.
  std::string Owner;
  ServiceClass Class = ServiceClass::Standard;
  bool DividedByKey = false;
  // The number of slices (hash partitions) of the key space: a power of two
  // from 1 to 65536. It cannot change once the catalogue is published, since
  // that would assign keys to other owners.
  std::uint32_t Slices = 4096;
  ServiceLimits Limits;
  // HTTP methods that may run more than once; always includes GET and HEAD.
  std::vector<std::string> IdempotentMethods{"GET", "HEAD"};
};

// State of a region. Lost means that an operator has declared all VMs of the
// region permanently lost.
enum class RegionState { Active, Lost };

struct RegionEntry {
  std::string Name;
  RegionState State = RegionState::Active;
};

// Weights of the terms of the placement cost function; dimensionless and not
// negative.
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

  // Returns the entry of the service, or null if there is none. Linear in the
  // number of services.
  const ServiceEntry *find(ServiceId Id) const;
  const ServiceEntry *find(std::string_view Name) const;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_CATALOGUE_H
