// The state of the stand-in store: keys with revisions, leases and the change
// history from which watches are served. The caller passes the time and does
// the network I/O.
//
//   StoreModel Model;
//   Model.put("orioledoor/assignment", "...", 0);
//   Model.expireLeases(readClock());
#ifndef ORIOLEDOOR_STANDINS_STORE_MODEL_H
#define ORIOLEDOOR_STANDINS_STORE_MODEL_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::standins {

struct StoredKey {
  std::string Key;
  std::string Value;
  std::int64_t CreateRevision = 0;
  std::int64_t ModRevision = 0;
  std::int64_t Version = 0;
  std::int64_t Lease = 0;
};

// A put, or a delete, whose After has an empty value.
struct StoredChange {
  StoredKey After;
  bool Deleted = false;
};

// Not thread-safe. A read costs O(log keys + keys in the range).
class StoreModel {
public:
  // Invoked after each write with the changes of one revision.
  using ChangeCallback = std::function<void(std::vector<StoredChange>)>;

  void onChange(ChangeCallback Function) {
    this->OnChange = std::move(Function);
  }

  std::int64_t revision() const { return this->Revision; }

  // Returns the keys in [Key, End) in order; only Key itself if End is empty.
  // An End of one zero byte means all keys from Key on.
  std::vector<StoredKey> range(std::string_view Key,
                               std::string_view End) const;
  // Returns null if the key is absent.
  const StoredKey *find(std::string_view Key) const;

  // All writes between begin() and commit() get the same revision.
  void begin();
  void put(std::string_view Key, std::string_view Value, std::int64_t Lease);
  std::int64_t remove(std::string_view Key, std::string_view End);
  void commit();

  // Returns all changes in the range from revision From on, oldest first;
  // nullopt if that revision has been compacted.
  std::optional<std::vector<StoredChange>>
  changesFrom(std::int64_t From, std::string_view Key,
              std::string_view End) const;
  void compact(std::int64_t Below);
  std::int64_t compactRevision() const { return this->CompactedRevision; }

  std::int64_t grantLease(Duration TimeToLive, Instant Now);
  bool hasLease(std::int64_t Lease) const;
  // Extends the lease and returns its time to live; nullopt if it has expired.
  std::optional<Duration> keepAlive(std::int64_t Lease, Instant Now);
  // Ends the lease and deletes its keys; returns false if there is no such
  // lease.
  bool revokeLease(std::int64_t Lease);
  void expireLeases(Instant Now);

  // Keeps a copy of the keys and leases, to which rollBack() returns.
  void takeCopy();
  // Comes back from the copy: what was written since is gone, leases too, and
  // the revisions since are given out again. The history that is left is that
  // before the copy. Does nothing without a copy.
  void rollBack();

private:
  struct LeaseState {
    Duration TimeToLive{};
    Instant Expiry;
    std::set<std::string> Keys;
  };

  // What a copy holds.
  struct Snapshot {
    std::map<std::string, StoredKey, std::less<>> Keys;
    std::map<std::int64_t, LeaseState> Leases;
    std::vector<StoredChange> History;
    std::int64_t Revision = 0;
  };

  void erase(const std::string &Key);

  std::map<std::string, StoredKey, std::less<>> Keys;
  std::map<std::int64_t, LeaseState> Leases;
  std::vector<StoredChange> History;
  // Writes since begin().
  std::vector<StoredChange> PendingChanges;
  std::int64_t Revision = 1;
  std::int64_t CompactedRevision = 0;
  // Starts above 2^53, so that a lease id that is converted to a double changes
  // its value and the error shows.
  std::int64_t LastLeaseId = 0x7587000000000001;
  std::optional<Snapshot> Copy;
  ChangeCallback OnChange;
};

// Returns whether Key lies in [From, End), with End as in StoreModel::range.
bool inRange(std::string_view Key, std::string_view From, std::string_view End);

// Returns the End of the range of all keys that start with Prefix.
std::string endOfPrefix(std::string_view Prefix);

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_STORE_MODEL_H
