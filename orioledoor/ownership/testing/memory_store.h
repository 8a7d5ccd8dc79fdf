// An in-memory implementation of the platform's store in virtual time:
// compare-and-swap, leases and a log of changes for watches. For tests only.
#ifndef ORIOLEDOOR_OWNERSHIP_TESTING_MEMORY_STORE_H
#define ORIOLEDOOR_OWNERSHIP_TESTING_MEMORY_STORE_H

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "orioledoor/store/store_types.h"

namespace orioledoor::ownership::testing {

class MemoryStore {
public:
  StoreReply apply(const StoreRequest &Request, Instant Now) {
    this->expire(Now);
    StoreReply Reply;
    Reply.Id = Request.Id;
    std::visit([&](const auto &Body) { this->run(Body, Now, Reply); },
               Request.Body);
    Reply.Revision = this->Revision;
    return Reply;
  }

  void expire(Instant Now) {
    std::erase_if(this->Leases, [&](const auto &Entry) {
      bool Expired = Now >= Entry.second.second;
      if (Expired)
        this->dropKeysOf(Entry.first);
      return Expired;
    });
  }

  // Returns the changes with a revision above After, in order.
  std::vector<std::pair<std::int64_t, StoreChange>>
  changesAfter(std::int64_t After) const {
    auto First = std::ranges::upper_bound(
        this->Log, After, {}, [](auto &Entry) { return Entry.first; });
    return {First, this->Log.end()};
  }

  std::int64_t revision() const { return this->Revision; }

private:
  void run(const StoreRange &Body, Instant /*Now*/, StoreReply &Reply) const {
    for (const auto &[Key, Entry] : this->Keys)
      if (Body.Prefix ? Key.starts_with(Body.Key) : Key == Body.Key)
        Reply.Entries.push_back(Entry.first);
  }

  void run(const StoreTxn &Body, Instant /*Now*/, StoreReply &Reply) {
    Reply.Succeeded =
        std::ranges::all_of(Body.Compares, [&](const StoreCompare &C) {
          auto Found = this->Keys.find(C.Key);
          return (Found == this->Keys.end()
                      ? 0
                      : Found->second.first.ModRevision) == C.ModRevision;
        });
    if (!Reply.Succeeded) {
      for (const StoreCompare &C : Body.Compares)
        this->run(StoreRange{.Key = C.Key}, {}, Reply);
      return;
    }
    ++this->Revision;
    for (const StorePut &P : Body.Puts) {
      StoreEntry Entry{P.Key, P.Value, this->Revision};
      this->Keys[P.Key] = {Entry, P.Lease};
      this->Log.emplace_back(this->Revision, StoreChange{Entry, false});
    }
    for (const std::string &Key : Body.Deletes)
      this->drop(Key);
  }

  void run(const StoreLeaseGrant &Body, Instant Now, StoreReply &Reply) {
    Reply.Lease = ++this->LastLease;
    Reply.TimeToLive = Body.TimeToLive;
    this->Leases[Reply.Lease] = {Body.TimeToLive, Now + Body.TimeToLive};
  }

  void run(const StoreLeaseKeepAlive &Body, Instant Now, StoreReply &Reply) {
    Reply.Lease = Body.Lease;
    auto Found = this->Leases.find(Body.Lease);
    if (Found == this->Leases.end())
      return;
    Found->second.second = Now + Found->second.first;
    Reply.TimeToLive = Found->second.first;
  }

  void run(const StoreLeaseRevoke &Body, Instant /*Now*/, StoreReply &Reply) {
    Reply.Lease = Body.Lease;
    if (this->Leases.erase(Body.Lease) > 0)
      this->dropKeysOf(Body.Lease);
  }

  void dropKeysOf(std::int64_t Lease) {
    std::vector<std::string> ExpiredKeys;
    for (const auto &[Key, Entry] : this->Keys)
      if (Entry.second == Lease)
        ExpiredKeys.push_back(Key);
    ++this->Revision;
    for (const std::string &Key : ExpiredKeys)
      this->drop(Key);
  }

  void drop(const std::string &Key) {
    if (this->Keys.erase(Key) > 0)
      this->Log.emplace_back(this->Revision,
                             StoreChange{{Key, "", this->Revision}, true});
  }

  std::int64_t Revision = 1;
  std::int64_t LastLease = 0;
  // Each key's entry and lease; the lease is 0 if the key has none.
  std::map<std::string, std::pair<StoreEntry, std::int64_t>> Keys;
  // Time to live and expiry time of each lease.
  std::map<std::int64_t, std::pair<std::chrono::seconds, Instant>> Leases;
  std::vector<std::pair<std::int64_t, StoreChange>> Log;
};

} // namespace orioledoor::ownership::testing

#endif // ORIOLEDOOR_OWNERSHIP_TESTING_MEMORY_STORE_H
