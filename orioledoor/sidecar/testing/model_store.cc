// Execution of store requests, leases and the history of changes.
#include "orioledoor/sidecar/testing/model_store.h"

#include <algorithm>

namespace orioledoor::sidecar::testing {

std::int64_t ModelStore::leaseOf(const std::string &Key) const {
  auto Found = this->KeyLeases.find(Key);
  return Found == this->KeyLeases.end() ? 0 : Found->second;
}

void ModelStore::put(const StorePut &Put) {
  StoreEntry Entry{Put.Key, Put.Value, this->Revision};
  this->Entries[Put.Key] = Entry;
  this->KeyLeases[Put.Key] = Put.Lease;
  this->History.push_back({Entry, false});
}

void ModelStore::erase(const std::string &Key) {
  if (this->Entries.erase(Key) == 0)
    return;
  this->KeyLeases.erase(Key);
  ++this->Revision;
  this->History.push_back({{Key, "", this->Revision}, true});
}

void ModelStore::rollBack(Instant Now) {
  std::int64_t NextEra = this->Era + 1;
  // Lease ids are not given out again.
  std::int64_t NextId = this->NextLease;
  std::shared_ptr<const ModelStore> Kept = this->Copy;
  *this = *Kept;
  this->Copy = Kept;
  this->Era = NextEra;
  this->NextLease = NextId;
  this->LastTick = Now;
}

StoreReply ModelStore::apply(const StoreRequest &Request, Instant Now) {
  StoreReply Reply{.Id = Request.Id, .Era = this->Era};
  if (const auto *Range = std::get_if<StoreRange>(&Request.Body)) {
    for (const auto &[Key, Entry] : this->Entries)
      if (Key == Range->Key || (Range->Prefix && Key.starts_with(Range->Key)))
        Reply.Entries.push_back(Entry);
  } else if (const auto *Txn = std::get_if<StoreTxn>(&Request.Body)) {
    for (const StorePut &Put : Txn->Puts)
      if (Put.Lease != 0 && !this->Leases.contains(Put.Lease)) {
        Reply.Status = absl::NotFoundError("no such lease");
        return Reply;
      }
    Reply.Succeeded =
        std::ranges::all_of(Txn->Compares, [this](const StoreCompare &Compare) {
          auto Found = this->Entries.find(Compare.Key);
          return (Found == this->Entries.end()
                      ? 0
                      : Found->second.ModRevision) == Compare.ModRevision;
        });
    if (Reply.Succeeded) {
      ++this->Revision;
      for (const StorePut &Put : Txn->Puts)
        this->put(Put);
    } else {
      for (const StoreCompare &Compare : Txn->Compares)
        if (auto Found = this->Entries.find(Compare.Key);
            Found != this->Entries.end())
          Reply.Entries.push_back(Found->second);
    }
  } else if (const auto *Grant = std::get_if<StoreLeaseGrant>(&Request.Body)) {
    Reply.Lease = this->NextLease++;
    Reply.TimeToLive = Grant->TimeToLive;
    this->Leases[Reply.Lease] = {Grant->TimeToLive, Now + Grant->TimeToLive};
  } else if (const auto *KeepAlive =
                 std::get_if<StoreLeaseKeepAlive>(&Request.Body)) {
    Reply.Lease = KeepAlive->Lease;
    if (auto Found = this->Leases.find(KeepAlive->Lease);
        Found != this->Leases.end()) {
      Found->second.ExpiresAt = Now + Found->second.TimeToLive;
      Reply.TimeToLive = std::chrono::seconds(1);
    }
  }
  Reply.Revision = this->Revision;
  return Reply;
}

void ModelStore::endLease(std::int64_t Lease) {
  if (this->Leases.erase(Lease) == 0)
    return;
  std::vector<std::string> Keys;
  for (const auto &[Key, KeyLease] : this->KeyLeases)
    if (KeyLease == Lease)
      Keys.push_back(Key);
  for (const std::string &Key : Keys)
    this->erase(Key);
}

void ModelStore::tick(Instant Now, bool LeasesPaused) {
  Duration Elapsed = Now - this->LastTick;
  this->LastTick = Now;
  std::vector<std::int64_t> Expired;
  for (auto &[Id, CurrentLease] : this->Leases) {
    if (LeasesPaused)
      CurrentLease.ExpiresAt = CurrentLease.ExpiresAt + Elapsed;
    else if (Now >= CurrentLease.ExpiresAt)
      Expired.push_back(Id);
  }
  for (std::int64_t Id : Expired)
    this->endLease(Id);
}

std::vector<StoreChange> ModelStore::changesAfter(std::int64_t Revision) const {
  std::vector<StoreChange> Changes;
  std::ranges::copy_if(this->History, std::back_inserter(Changes),
                       [Revision](const StoreChange &Change) {
                         return Change.Entry.ModRevision > Revision;
                       });
  return Changes;
}

} // namespace orioledoor::sidecar::testing
