// Keys, leases and change history of the stand-in store.
#include "orioledoor/standins/store_model.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace orioledoor::standins {

bool inRange(std::string_view Key, std::string_view From,
             std::string_view End) {
  if (End.empty())
    return Key == From;
  return Key >= From && (End == std::string_view("\0", 1) || Key < End);
}

std::string endOfPrefix(std::string_view Prefix) {
  if (Prefix.empty())
    return std::string(1, '\0');
  std::string End(Prefix);
  ++End.back();
  return End;
}

std::vector<StoredKey> StoreModel::range(std::string_view Key,
                                         std::string_view End) const {
  std::vector<StoredKey> Found;
  std::ranges::copy(
      std::ranges::subrange(this->Keys.lower_bound(Key), this->Keys.end()) |
          std::views::values |
          std::views::take_while([&](const StoredKey &Candidate) {
            return inRange(Candidate.Key, Key, End);
          }),
      std::back_inserter(Found));
  return Found;
}

const StoredKey *StoreModel::find(std::string_view Key) const {
  auto It = this->Keys.find(Key);
  return It == this->Keys.end() ? nullptr : &It->second;
}

void StoreModel::begin() { this->PendingChanges.clear(); }

void StoreModel::put(std::string_view Key, std::string_view Value,
                     std::int64_t Lease) {
  StoredKey &Entry = this->Keys[std::string(Key)];
  if (auto It = this->Leases.find(Entry.Lease); It != this->Leases.end())
    It->second.Keys.erase(Entry.Key);
  std::int64_t Next = this->Revision + 1;
  if (Entry.Version == 0)
    Entry.CreateRevision = Next;
  Entry.Key = Key;
  Entry.Value = Value;
  Entry.ModRevision = Next;
  ++Entry.Version;
  Entry.Lease = Lease;
  if (auto It = this->Leases.find(Lease); It != this->Leases.end())
    It->second.Keys.insert(Entry.Key);
  this->PendingChanges.push_back({Entry, false});
}

std::int64_t StoreModel::remove(std::string_view Key, std::string_view End) {
  std::vector<StoredKey> Matching = this->range(Key, End);
  for (const StoredKey &Entry : Matching)
    this->erase(Entry.Key);
  return std::ssize(Matching);
}

void StoreModel::erase(const std::string &Key) {
  auto Node = this->Keys.extract(Key);
  if (Node.empty())
    return;
  if (auto It = this->Leases.find(Node.mapped().Lease);
      It != this->Leases.end())
    It->second.Keys.erase(Key);
  StoredKey Tombstone;
  Tombstone.Key = Key;
  Tombstone.ModRevision = this->Revision + 1;
  this->PendingChanges.push_back({std::move(Tombstone), true});
}

void StoreModel::commit() {
  if (this->PendingChanges.empty())
    return;
  ++this->Revision;
  std::ranges::copy(this->PendingChanges, std::back_inserter(this->History));
  if (this->OnChange)
    this->OnChange(std::exchange(this->PendingChanges, {}));
  this->PendingChanges.clear();
}

std::optional<std::vector<StoredChange>>
StoreModel::changesFrom(std::int64_t From, std::string_view Key,
                        std::string_view End) const {
  if (From < this->CompactedRevision)
    return std::nullopt;
  std::vector<StoredChange> Found;
  std::ranges::copy_if(this->History, std::back_inserter(Found),
                       [&](const StoredChange &Change) {
                         return Change.After.ModRevision >= From &&
                                inRange(Change.After.Key, Key, End);
                       });
  return Found;
}

void StoreModel::compact(std::int64_t Below) {
  this->CompactedRevision = Below;
  std::erase_if(this->History, [Below](const StoredChange &Change) {
    return Change.After.ModRevision < Below;
  });
}

void StoreModel::takeCopy() {
  this->Copy = {this->Keys, this->Leases, this->History, this->Revision};
}

void StoreModel::rollBack() {
  if (!this->Copy)
    return;
  this->Keys = this->Copy->Keys;
  this->Leases = this->Copy->Leases;
  this->History = this->Copy->History;
  this->Revision = this->Copy->Revision;
  this->PendingChanges.clear();
}

std::int64_t StoreModel::grantLease(Duration TimeToLive, Instant Now) {
  std::int64_t Id = ++this->LastLeaseId;
  this->Leases[Id] = {TimeToLive, Now + TimeToLive, {}};
  return Id;
}

bool StoreModel::hasLease(std::int64_t Lease) const {
  return this->Leases.contains(Lease);
}

std::optional<Duration> StoreModel::keepAlive(std::int64_t Lease, Instant Now) {
  auto It = this->Leases.find(Lease);
  if (It == this->Leases.end())
    return std::nullopt;
  It->second.Expiry = Now + It->second.TimeToLive;
  return It->second.TimeToLive;
}

bool StoreModel::revokeLease(std::int64_t Lease) {
  auto Node = this->Leases.extract(Lease);
  if (Node.empty())
    return false;
  this->begin();
  for (const std::string &Key : Node.mapped().Keys)
    this->erase(Key);
  this->commit();
  return true;
}

void StoreModel::expireLeases(Instant Now) {
  std::vector<std::int64_t> Expired;
  for (const auto &[Id, State] : this->Leases)
    if (State.Expiry <= Now)
      Expired.push_back(Id);
  for (std::int64_t Id : Expired)
    this->revokeLease(Id);
}

} // namespace orioledoor::standins
