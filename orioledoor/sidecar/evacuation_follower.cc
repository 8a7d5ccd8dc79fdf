// Takes the evacuated failure domains from reads and watches.
#include "orioledoor/sidecar/evacuation_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "orioledoor/platform/operator_keys.h"

namespace orioledoor::sidecar {
namespace {

using platform::OperatorKeyKind;

// Bounds the memory when invalid keys are written and removed.
constexpr std::size_t MaxReportedKeys = 256;

} // namespace

void EvacuationFollower::enterEra(std::int64_t Era) {
  if (Era <= this->Era)
    return;
  this->Era = Era;
  this->Revision = 0;
}

void EvacuationFollower::addDomain(std::string_view Key, DomainNames &Domains) {
  platform::OperatorKey Decoded = platform::decodeOperatorKey(Key);
  if (Decoded.Kind == OperatorKeyKind::Evacuation) {
    Domains.insert(std::move(Decoded.FailureDomain));
  } else if (Decoded.Kind == OperatorKeyKind::Invalid &&
             this->Reported.size() < MaxReportedKeys &&
             this->Reported.emplace(Key).second) {
    this->Invalid.push_back({std::string(Key), std::string(Decoded.Fault)});
  }
}

std::optional<EvacuationsChanged>
EvacuationFollower::applyRead(const StoreReply &Reply, bool KeepVanished) {
  this->enterEra(Reply.Era);
  std::int64_t ReadRevision = Reply.Revision;
  for (const StoreEntry &Entry : Reply.Entries)
    ReadRevision = std::max(ReadRevision, Entry.ModRevision);
  // A reply without a revision shows nothing.
  if (!Reply.Status.ok() || ReadRevision == 0 || ReadRevision < this->Revision)
    return std::nullopt;
  this->Revision = ReadRevision;
  DomainNames Read;
  for (const StoreEntry &Entry : Reply.Entries)
    this->addDomain(Entry.Key, Read);
  if (KeepVanished)
    Read.insert(this->Domains.begin(), this->Domains.end());
  if (std::exchange(this->Loaded, true) && Read == this->Domains)
    return std::nullopt;
  EvacuationsChanged Changed{.Domains = Read, .MayBeOld = true};
  std::ranges::set_difference(
      this->Domains, Read, std::inserter(Changed.Ended, Changed.Ended.end()));
  this->Domains = std::move(Read);
  return Changed;
}

std::optional<EvacuationsChanged>
EvacuationFollower::applyWatch(const StoreWatchUpdate &Update) {
  this->enterEra(Update.Era);
  EvacuationsChanged Changed{.MayBeOld = this->Interrupted};
  this->Interrupted = !Update.Status.ok();
  DomainNames Next = this->Domains;
  for (const StoreChange &Change : Update.Changes) {
    if (Change.Entry.ModRevision <= this->Revision)
      continue;
    DomainNames Concerned;
    this->addDomain(Change.Entry.Key, Concerned);
    for (const std::string &Domain : Concerned) {
      if (!Change.Deleted) {
        Next.insert(Domain);
      } else {
        Next.erase(Domain);
        Changed.Ended.insert(Domain);
      }
    }
  }
  if (Update.Status.ok())
    this->Revision = std::max(this->Revision, Update.Revision);
  if (Next == this->Domains && Changed.Ended.empty())
    return std::nullopt;
  Changed.Domains = this->Domains = std::move(Next);
  return Changed;
}

std::vector<InvalidOperatorKey> EvacuationFollower::takeInvalidKeys() {
  return std::exchange(this->Invalid, {});
}

} // namespace orioledoor::sidecar
