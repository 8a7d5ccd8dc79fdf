// A simple model of the platform's store for tests: one map to which requests
// are applied immediately.
#ifndef ORIOLEDOOR_SIDECAR_TESTING_MODEL_STORE_H
#define ORIOLEDOOR_SIDECAR_TESTING_MODEL_STORE_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "orioledoor/store/store_types.h"

namespace orioledoor::sidecar::testing {

// Not thread-safe.
class ModelStore {
public:
  // Executes the request and returns its reply.
  StoreReply apply(const StoreRequest &Request, Instant Now);
  // Ends expired leases. While leases are paused, their expiry is postponed
  // instead.
  void tick(Instant Now, bool LeasesPaused);
  // Removes a key.
  void erase(const std::string &Key);
  // Ends one lease and removes its keys, as the platform may do.
  void endLease(std::int64_t Lease);
  // Returns all changes after Revision.
  std::vector<StoreChange> changesAfter(std::int64_t Revision) const;

  // States eras from now on; 0: none.
  void setEra(std::int64_t NewEra) { this->Era = NewEra; }
  std::int64_t era() const { return this->Era; }
  // Keeps a copy of the content, to which rollBack() returns.
  void takeCopy() { this->Copy = std::make_shared<ModelStore>(*this); }
  // Comes back from the copy in the next era: what was written since is gone,
  // leases too, and revisions are given out again.
  void rollBack(Instant Now);

  std::int64_t revision() const { return this->Revision; }
  const std::map<std::string, StoreEntry> &entries() const {
    return this->Entries;
  }
  // Returns the lease of a key; 0 if it has none.
  std::int64_t leaseOf(const std::string &Key) const;

private:
  struct Lease {
    Duration TimeToLive{0};
    Instant ExpiresAt;
  };
  void put(const StorePut &Put);

  std::int64_t Revision = 1;
  std::int64_t NextLease = 1;
  Instant LastTick;
  std::map<std::string, StoreEntry> Entries;
  std::map<std::string, std::int64_t> KeyLeases;
  std::map<std::int64_t, Lease> Leases;
  std::vector<StoreChange> History;
  std::int64_t Era = 0;
  std::shared_ptr<const ModelStore> Copy;
};

} // namespace orioledoor::sidecar::testing

#endif // ORIOLEDOOR_SIDECAR_TESTING_MODEL_STORE_H
