// Lease, entry and view.
#include "orioledoor/sidecar/membership.h"

#include <algorithm>
#include <utility>

#include "orioledoor/keyspace/key_planner.h"
#include "orioledoor/sidecar/events.h"

namespace orioledoor::sidecar {
namespace {

// Two renewals must fail before the view counts as out of date.
constexpr Duration MaxStoreSilence = std::chrono::milliseconds(2000);

// Request ids of this component have this bit; the reducer's own do not.
constexpr std::uint64_t MembershipIdBit = std::uint64_t{1} << 62;

} // namespace

Membership::Membership(NodeEntry Self, MembershipOptions Options)
    : Self(std::move(Self)), Options(Options),
      EntryKey(keyspace::KeyPlanner::nodeEntryKey(this->Self.Node)),
      Authority(Options.AuthorityTime) {}

StoreRequest Membership::request(StoreRequestBody Body) {
  return {.Id = MembershipIdBit | this->NextId++, .Body = std::move(Body)};
}

void Membership::start(Instant Now, MembershipOutput &Out) {
  this->grant(Now, Out);
}

void Membership::grant(Instant Now, MembershipOutput &Out) {
  this->At = Step::Granting;
  StoreRequest Sent =
      this->request(StoreLeaseGrant{.TimeToLive = this->Options.LeaseDuration});
  this->StepCallId = Sent.Id;
  this->StepSentAt = Now;
  Out.Calls.push_back(std::move(Sent));
}

void Membership::write(Instant Now, MembershipOutput &Out) {
  this->At = Step::Writing;
  this->EntryChanged = false;
  this->Written = this->Self;
  if (this->Written.Ended)
    this->PossiblyEndedTarget = this->Written.Ended;
  StoreTxn Txn;
  Txn.Compares.push_back({this->EntryKey, this->EntryRevision});
  Txn.Puts.push_back({.Key = this->EntryKey,
                      .Value = encodeNodeEntry(this->Self),
                      .Lease = this->Lease});
  StoreRequest Sent = this->request(std::move(Txn));
  this->StepCallId = Sent.Id;
  this->StepSentAt = Now;
  Out.Calls.push_back(std::move(Sent));
}

void Membership::read(Instant Now, MembershipOutput &Out) {
  this->ReadNeeded = false;
  this->At = Step::Reading;
  StoreRequest Sent =
      this->request(StoreRange{.Key = StoreRoot, .Prefix = true});
  this->StepCallId = Sent.Id;
  this->StepSentAt = Now;
  Out.Calls.push_back(std::move(Sent));
}

void Membership::setSelf(const NodeEntry &Self, Instant Now,
                         MembershipOutput &Out) {
  if (Self == this->Self)
    return;
  this->Self = Self;
  this->EntryChanged = true;
  if (this->At == Step::Live && this->StepCallId == 0)
    this->write(Now, Out);
}

void Membership::recordStoreAnswer(bool Answered, const absl::Status &Why,
                                   Instant Now, MembershipOutput &Out) {
  if (Answered) {
    this->LastAnswerAt = Now;
    if (!this->StoreAnswers || this->UpToDateSince == Instant())
      this->UpToDateSince = Now;
  }
  if (Answered == this->StoreAnswers)
    return;
  this->StoreAnswers = Answered;
  if (Answered)
    Out.Logs.push_back({&events::StoreRegained, {}});
  else
    Out.Logs.push_back(
        {&events::StoreLost, {{"why", std::string(Why.message())}}});
}

bool Membership::onStoreReply(const StoreReply &Reply, Instant Now,
                              MembershipOutput &Out) {
  if ((Reply.Id & MembershipIdBit) == 0)
    return false;
  this->recordStoreAnswer(Reply.Status.ok() || absl::IsNotFound(Reply.Status),
                          Reply.Status, Now, Out);
  if (Reply.Id == this->RenewCallId) {
    this->RenewCallId = 0;
    if (!Reply.Status.ok()) {
      this->RenewAt = Now + this->Options.RetryDelay;
    } else if (Reply.TimeToLive.count() > 0) {
      this->Authority.onLeaseRenewed(this->RenewSentAt);
      this->RenewAt = this->RenewSentAt + this->Options.RenewInterval;
    } else {
      Out.Logs.push_back(
          {&events::LeaseEnded, {{"lease", std::to_string(this->Lease)}}});
      this->Authority.onEntryLost();
      this->Lease = 0;
      this->grant(Now, Out);
    }
    return true;
  }
  if (Reply.Id != this->StepCallId)
    return true;
  this->StepCallId = 0;
  if (absl::IsNotFound(Reply.Status)) {
    this->Authority.onEntryLost();
    this->Lease = 0;
    this->grant(Now, Out);
    return true;
  }
  if (!Reply.Status.ok()) {
    this->RetryAt = Now + this->Options.RetryDelay;
    return true;
  }
  switch (this->At) {
  case Step::Granting:
    this->Lease = Reply.Lease;
    this->RenewAt = this->StepSentAt + this->Options.RenewInterval;
    this->write(Now, Out);
    break;
  case Step::Writing:
    if (!Reply.Succeeded) {
      // Another write came first, of this process or of the one before it.
      auto Found =
          std::ranges::find(Reply.Entries, this->EntryKey, &StoreEntry::Key);
      this->EntryRevision =
          Found == Reply.Entries.end() ? 0 : Found->ModRevision;
      this->write(Now, Out);
      break;
    }
    this->EntryRevision = Reply.Revision;
    // A change of the entry under a live lease proves no more than a renewal
    // does, and nothing was missed in between.
    if (this->Authority.isEstablished()) {
      this->At = Step::Live;
      this->Authority.onLeaseRenewed(this->StepSentAt);
      if (this->EntryChanged)
        this->write(Now, Out);
      else if (this->PossiblyEndedTarget && !this->Written.Ended)
        this->read(Now, Out);
      break;
    }
    this->Authority.onEntryWritten(this->StepSentAt);
    this->read(Now, Out);
    break;
  case Step::Reading:
    this->At = Step::Live;
    this->applySnapshot(Reply, Now, Out);
    this->Authority.onKeyMapsRead();
    if (!this->Written.Ended)
      this->PossiblyEndedTarget = {};
    Out.WatchAfter = Reply.Revision;
    if (this->EntryChanged)
      this->write(Now, Out);
    break;
  default:
    break;
  }
  return true;
}

void Membership::applySnapshot(const StoreReply &Reply, Instant Now,
                               MembershipOutput &Out) {
  std::vector<std::string> Absent;
  for (const auto &Entry : this->Nodes)
    if (std::ranges::find(Reply.Entries, Entry.first, &StoreEntry::Key) ==
        Reply.Entries.end())
      Absent.push_back(Entry.first);
  for (const std::string &Key : Absent)
    this->remove(Key, Reply.Revision, Now);
  for (const StoreEntry &Entry : Reply.Entries)
    this->apply(Entry, Out);
  this->Known = true;
  Out.NodesChanged = Out.KeysChanged = true;
}

void Membership::apply(const StoreEntry &Entry, MembershipOutput &Out) {
  if (Entry.Key.starts_with(KeysPrefix)) {
    absl::StatusOr<keyspace::KeyMap> Map = keyspace::decodeKeyMap(Entry.Value);
    if (!Map.ok()) {
      Out.Logs.push_back(
          {&events::EntryUnreadable,
           {{"key", Entry.Key}, {"why", std::string(Map.status().message())}}});
      return;
    }
    Out.KeysChanged |= this->applyKeyMap(*std::move(Map), Entry.ModRevision);
    return;
  }
  if (!Entry.Key.starts_with(NodePrefix))
    return;
  absl::StatusOr<NodeEntry> Read = decodeNodeEntry(Entry.Value);
  if (!Read.ok()) {
    Out.Logs.push_back(
        {&events::EntryUnreadable,
         {{"key", Entry.Key}, {"why", std::string(Read.status().message())}}});
    return;
  }
  auto Found = this->Nodes.find(Entry.Key);
  // A read and the watch may bring changes in another order than they were
  // made.
  if (Found != this->Nodes.end() && Entry.ModRevision < Found->second.Revision)
    return;
  bool Other = Found == this->Nodes.end() ||
               Found->second.Entry.Process != Read->Process;
  if (Other) {
    if (Found != this->Nodes.end())
      Out.ReplacedNodes.push_back(Read->Node);
    Out.Logs.push_back({&events::NodeJoined,
                        {{"node", Read->Node},
                         {"service", Read->Service},
                         {"failure_domain", Read->Place.FailureDomain}}});
  }
  this->Nodes[Entry.Key] = {*std::move(Read), Entry.ModRevision, {}};
  Out.NodesChanged = true;
}

bool Membership::applyKeyMap(keyspace::KeyMap Map, std::int64_t Revision) {
  StoredKeyMap &Kept = this->KeyMaps[Map.Service];
  if (Revision <= Kept.Revision)
    return false;
  Kept = {std::move(Map), Revision};
  return true;
}

void Membership::remove(const std::string &Key, std::int64_t Revision,
                        Instant Now) {
  auto Found = this->Nodes.find(Key);
  if (Key != this->EntryKey && Found != this->Nodes.end() &&
      Revision >= Found->second.Revision && !Found->second.MissingSince)
    Found->second.MissingSince = Now;
}

void Membership::watched(const StoreWatchUpdate &Update, Instant Now,
                         MembershipOutput &Out) {
  if (absl::IsOutOfRange(Update.Status)) {
    // The history is gone: everything is read again.
    this->ReadNeeded = true;
    this->ReadAt = Now + this->Options.HistoryPause;
    return;
  }
  if (!Update.Status.ok())
    return;
  for (const StoreChange &Change : Update.Changes)
    if (Change.Deleted)
      this->remove(Change.Entry.Key, Change.Entry.ModRevision, Now);
    else
      this->apply(Change.Entry, Out);
}

bool Membership::isUpToDate(Instant Now) const {
  return this->At == Step::Live && this->Authority.isEstablished() &&
         this->StoreAnswers && Now - this->LastAnswerAt < MaxStoreSilence;
}

void Membership::tick(Instant Now, MembershipOutput &Out) {
  if (this->StepCallId == 0 && this->At != Step::Live &&
      this->At != Step::Idle && Now >= this->RetryAt) {
    if (this->At == Step::Granting)
      this->grant(Now, Out);
    else if (this->At == Step::Writing)
      this->write(Now, Out);
    else
      this->read(Now, Out);
  }
  if (this->At == Step::Live && this->StepCallId == 0 && this->ReadNeeded &&
      Now >= this->ReadAt)
    this->read(Now, Out);
  if (this->Lease != 0 && this->RenewCallId == 0 && Now >= this->RenewAt) {
    StoreRequest Sent =
        this->request(StoreLeaseKeepAlive{.Lease = this->Lease});
    this->RenewCallId = Sent.Id;
    this->RenewSentAt = Now;
    Out.Calls.push_back(std::move(Sent));
  }
  std::vector<std::string> Gone;
  for (const auto &[Key, Node] : this->Nodes)
    if (Node.MissingSince && this->isUpToDate(Now) &&
        Now - *Node.MissingSince >= this->Options.MissingGrace)
      Gone.push_back(Key);
  for (const std::string &Key : Gone) {
    auto Found = this->Nodes.find(Key);
    const std::string &Node = Found->second.Entry.Node;
    Out.Logs.push_back({&events::NodeGone, {{"node", Node}}});
    Out.RemovedNodes.push_back(Node);
    this->Nodes.erase(Found);
    Out.NodesChanged = true;
  }
}

} // namespace orioledoor::sidecar
