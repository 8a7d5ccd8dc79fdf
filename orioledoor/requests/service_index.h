// The current catalogue, indexed by service.
#ifndef ORIOLEDOOR_REQUESTS_SERVICE_INDEX_H
#define ORIOLEDOOR_REQUESTS_SERVICE_INDEX_H

#include <memory>
#include <string_view>
#include <unordered_map>

#include "orioledoor/base/ids.h"

namespace orioledoor {
struct Catalogue;
struct ServiceEntry;
} // namespace orioledoor

namespace orioledoor::requests {

// Not thread-safe.
class ServiceIndex {
public:
  // Replaces the catalogue. Linear in the number of services.
  void assign(std::shared_ptr<const Catalogue> Current);

  // Returns null if there is no such service. The result is valid until the
  // next assign. Constant.
  const ServiceEntry *find(ServiceId Id) const;
  const ServiceEntry *find(std::string_view Name) const;

private:
  // Keeps the entries that Entries points to alive.
  std::shared_ptr<const Catalogue> Current;
  std::unordered_map<ServiceId, const ServiceEntry *> Entries;
};

// Returns whether requests with Method are idempotent, so that they may run
// more than once.
bool isIdempotent(const ServiceEntry &Entry, std::string_view Method);

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_SERVICE_INDEX_H
