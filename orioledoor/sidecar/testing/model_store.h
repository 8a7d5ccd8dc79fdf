// A naive model of the platform's store for tests: one map, applied at once.
#ifndef ORIOLEDOOR_SIDECAR_TESTING_MODEL_STORE_H
#define ORIOLEDOOR_SIDECAR_TESTING_MODEL_STORE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "orioledoor/store/store_types.h"

namespace orioledoor::sidecar::testing {

// Not thread-safe.
class ModelStore {
public:
  // Carries the request out and returns its reply.
  StoreReply apply(const StoreRequest &Request, Instant Now);
  // Ends leases that ran out. Paused leases do not.
  void tick(Instant Now, bool LeasesPaused);
  // Ends all leases of a share of the keys, as the platform may.
  void endLease(std::int64_t Lease);
  // All changes after Revision.
  std::vector<StoreChange> changesAfter(std::int64_t Revision) const;

  std::int64_t revision() const { return this->Revision; }
  const std::map<std::string, StoreEntry> &entries() const {
    return this->Entries;
  }
  std::int64_t leaseOf(const std::string &Key) const;

private:
  struct Lease {
    Duration Time{0};
    Instant End;
  };
  void put(const StorePut &Put);
  void erase(const std::string &Key);

  std::int64_t Revision = 1;
  std::int64_t NextLease = 1;
  Instant LastTick;
  std::map<std::string, StoreEntry> Entries;
  std::map<std::string, std::int64_t> KeyLeases;
  std::map<std::int64_t, Lease> Leases;
  std::vector<StoreChange> History;
};

} // namespace orioledoor::sidecar::testing

#endif // ORIOLEDOOR_SIDECAR_TESTING_MODEL_STORE_H
