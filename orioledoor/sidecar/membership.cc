// Lease, entry and view of the other nodes.
#include "orioledoor/sidecar/membership.h"

#include <algorithm>
#include <utility>

#include "orioledoor/keyspace/key_map_repair.h"
#include "orioledoor/keyspace/key_planner.h"
#include "orioledoor/sidecar/events.h"
#include "orioledoor/sidecar/store_era.h"

namespace orioledoor::sidecar {
namespace {

// The view counts as out of date after two failed renewals.
constexpr Duration MaxStoreSilence = std::chrono::milliseconds(2000);

// Bit that marks the request ids of this class; ids of the key ownership
// manager do not have it.
constexpr std::uint64_t MembershipIdBit = std::uint64_t{1} << 62;

// Rows that another node sent count for this long: it sends them again every
// 300 ms while they count there, and a write takes up to 240 ms.
constexpr Duration ReceivedRowsTime = std::chrono::milliseconds(1000);

} // namespace

Membership::Membership(NodeEntry Self, MembershipOptions Options)
    : Self(std::move(Self)), Options(Options),
      EntryKey(keyspace::KeyPlanner::nodeEntryKey(this->Self.Node)),
      Authority(Options.AuthorityLifetime) {}

StoreRequest Membership::makeRequest(StoreRequestBody Body) {
  return {.Id = MembershipIdBit | this->NextId++, .Body = std::move(Body)};
}

void Membership::start(Instant Now, MembershipOutput &Out) {
  this->requestLease(Now, Out);
}

void Membership::requestLease(Instant Now, MembershipOutput &Out) {
  this->CurrentStep = Step::Granting;
  StoreRequest Request = this->makeRequest(
      StoreLeaseGrant{.TimeToLive = this->Options.LeaseDuration});
  this->StepCallId = Request.Id;
  this->StepSentAt = Now;
  Out.Calls.push_back(std::move(Request));
}

void Membership::writeEntry(Instant Now, MembershipOutput &Out) {
  this->CurrentStep = Step::Writing;
  this->EntryChanged = false;
  this->Self.StoreEra = this->Era;
  this->LastSentEntry = this->Self;
  if (this->LastSentEntry.Ended)
    this->PossiblyEndedTarget = this->LastSentEntry.Ended;
  StoreTxn Txn;
  Txn.Compares.push_back({this->EntryKey, this->EntryRevision});
  Txn.Puts.push_back({.Key = this->EntryKey,
                      .Value = encodeNodeEntry(this->Self),
                      .Lease = this->Lease});
  StoreRequest Request = this->makeRequest(std::move(Txn));
  this->StepCallId = Request.Id;
  this->StepSentAt = Now;
  Out.Calls.push_back(std::move(Request));
}

void Membership::readAll(Instant Now, MembershipOutput &Out) {
  this->ReadNeeded = false;
  this->CurrentStep = Step::Reading;
  StoreRequest Request =
      this->makeRequest(StoreRange{.Key = StoreRoot, .Prefix = true});
  this->StepCallId = Request.Id;
  this->StepSentAt = Now;
  Out.Calls.push_back(std::move(Request));
}

void Membership::setSelfEntry(const NodeEntry &Self, Instant Now,
                              MembershipOutput &Out) {
  if (Self == this->Self)
    return;
  this->Self = Self;
  this->EntryChanged = true;
  if (this->CurrentStep == Step::Live && this->StepCallId == 0)
    this->writeEntry(Now, Out);
}

void Membership::setFirstEra(std::int64_t Era, Instant Now) {
  this->Era = Era;
  this->EraSeenAt = Now;
}

void Membership::onEraRisen(std::int64_t Era, Instant Now,
                            MembershipOutput &Out) {
  // Rows that an earlier rise has put in question count no longer than before.
  bool Pending = std::ranges::any_of(this->KeyMaps, [this](const auto &Entry) {
    return Entry.second.Document || !this->isSettled(Entry.second);
  });
  Instant Proved = this->Authority.expiresAt();
  this->RowsCountUntil =
      Pending ? std::min(this->RowsCountUntil, Proved) : Proved;
  this->Era = Era;
  this->EraSeenAt = this->EraRisenAt = Now;
  this->EarlierRowsCount = Now < this->RowsCountUntil;
  // The lease may be gone, and the entry with it. What was granted stays
  // granted until the authority expires.
  this->Authority.onEntryLost();
  this->Lease = 0;
  this->StepCallId = this->RenewCallId = 0;
  this->ReadNeeded = false;
  std::size_t Nodes = this->Nodes.size();
  this->VanishedAt = Now +
                     this->Options.RejoinInterval * static_cast<int>(Nodes) +
                     this->Options.RejoinGrace;
  // The nodes concerned need the grace to join again as well.
  for (auto &Entry : this->Nodes)
    if (Entry.second.MissingSince)
      Entry.second.MissingSince = Now;
  if (this->CurrentStep == Step::Idle)
    return;
  this->CurrentStep = Step::Granting;
  this->RetryAt =
      Now + this->Options.RejoinInterval * static_cast<int>(this->rank());
  if (this->RetryAt <= Now)
    this->requestLease(Now, Out);
}

void Membership::advanceTo(Instant Now) {
  this->LastNow = Now;
  this->EarlierRowsCount &= Now < this->RowsCountUntil;
  for (auto &Entry : this->KeyMaps) {
    StoredKeyMap &Known = Entry.second;
    if (!Known.Document || Now < Known.NewerUntil)
      continue;
    keyspace::KeyMap Document = *std::move(Known.Document);
    Document.LastFence = std::max(Document.LastFence, Known.Map.LastFence);
    Document.LastMark = std::max(Document.LastMark, Known.Map.LastMark);
    Known = {.Map = std::move(Document), .Revision = Known.Revision};
  }
}

void Membership::markVanished(Instant Now) {
  this->VanishedAt.reset();
  for (auto &[Key, Node] : this->Nodes)
    if (Key != this->EntryKey && eraOf(Node.Revision) < this->Era &&
        !Node.MissingSince)
      Node.MissingSince = Now;
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
      this->requestLease(Now, Out);
    }
    return true;
  }
  if (Reply.Id != this->StepCallId)
    return true;
  this->StepCallId = 0;
  if (absl::IsNotFound(Reply.Status)) {
    this->Authority.onEntryLost();
    this->Lease = 0;
    this->requestLease(Now, Out);
    return true;
  }
  if (!Reply.Status.ok()) {
    this->RetryAt = Now + this->Options.RetryDelay;
    return true;
  }
  switch (this->CurrentStep) {
  case Step::Granting:
    this->Lease = Reply.Lease;
    this->RenewAt = this->StepSentAt + this->Options.RenewInterval;
    this->writeEntry(Now, Out);
    break;
  case Step::Writing:
    if (!Reply.Succeeded) {
      // Another write was applied first, by this process or by the previous one
      // on this VM.
      auto Found =
          std::ranges::find(Reply.Entries, this->EntryKey, &StoreEntry::Key);
      this->EntryRevision =
          Found == Reply.Entries.end() ? 0 : Found->ModRevision;
      this->writeEntry(Now, Out);
      break;
    }
    this->EntryRevision = Reply.Revision;
    // A change of the entry under a live lease proves as much as a renewal
    // does, and no change was missed in between.
    if (this->Authority.isEstablished()) {
      this->CurrentStep = Step::Live;
      this->Authority.onLeaseRenewed(this->StepSentAt);
      if (this->EntryChanged)
        this->writeEntry(Now, Out);
      else if (this->PossiblyEndedTarget && !this->LastSentEntry.Ended)
        this->readAll(Now, Out);
      break;
    }
    this->Authority.onEntryWritten(this->StepSentAt);
    this->readAll(Now, Out);
    break;
  case Step::Reading:
    this->CurrentStep = Step::Live;
    this->applySnapshot(Reply, Now, Out);
    this->Authority.onKeyMapsRead();
    this->announce(Out);
    if (!this->LastSentEntry.Ended)
      this->PossiblyEndedTarget = {};
    Out.WatchAfter = Reply.Revision;
    if (this->EntryChanged)
      this->writeEntry(Now, Out);
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
    this->markMissing(Key, Reply.Revision, Now);
  for (const StoreEntry &Entry : Reply.Entries)
    this->applyEntry(Entry, Out);
  // Key maps that vanished with an older copy of the store.
  for (const auto &[Service, Known] : this->KeyMaps)
    if (eraOf(Known.Revision) < this->Era) {
      keyspace::KeyMap Empty;
      Empty.Service = Service;
      this->applyKeyMap(std::move(Empty), qualifiedRevision(this->Era, 0));
    }
  this->Loaded = true;
  this->ViewRevision = std::max(this->ViewRevision, Reply.Revision);
  Out.NodesChanged = Out.KeysChanged = true;
}

void Membership::applyEntry(const StoreEntry &Entry, MembershipOutput &Out) {
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
  absl::StatusOr<NodeEntry> Decoded = decodeNodeEntry(Entry.Value);
  if (!Decoded.ok()) {
    Out.Logs.push_back({&events::EntryUnreadable,
                        {{"key", Entry.Key},
                         {"why", std::string(Decoded.status().message())}}});
    return;
  }
  if (keyspace::KeyPlanner::nodeEntryKey(Decoded->Node) != Entry.Key) {
    Out.Logs.push_back(
        {&events::EntryUnreadable,
         {{"key", Entry.Key}, {"why", "the entry belongs to another node"}}});
    return;
  }
  auto Found = this->Nodes.find(Entry.Key);
  // Changes may arrive from a read and from the watch in a different order than
  // they were made.
  if (Found != this->Nodes.end() && Entry.ModRevision < Found->second.Revision)
    return;
  bool NewProcess = Found == this->Nodes.end() ||
                    Found->second.Entry.Process != Decoded->Process;
  if (NewProcess) {
    if (Found != this->Nodes.end())
      Out.ReplacedNodes.push_back(Decoded->Node);
    Out.Logs.push_back({&events::NodeJoined,
                        {{"node", Decoded->Node},
                         {"service", Decoded->Service},
                         {"failure_domain", Decoded->Place.FailureDomain}}});
  }
  this->Nodes[Entry.Key] = {*std::move(Decoded), Entry.ModRevision, {}};
  Out.NodesChanged = true;
}

bool Membership::applyKeyMap(keyspace::KeyMap Map, std::int64_t Revision) {
  if (eraOf(Revision) != this->Era)
    return false;
  StoredKeyMap &Known = this->KeyMaps[Map.Service];
  if (Revision <= Known.Revision)
    return false;
  bool IsNew = Known.Revision == 0;
  if (Map.Era < this->Era && this->EraRisenAt == Instant() &&
      this->UnsettledSince == Instant())
    this->UnsettledSince = this->EraSeenAt;
  bool KeepsRows =
      this->EarlierRowsCount &&
      (Known.Document || (!IsNew && eraOf(Known.Revision) < this->Era));
  if (!KeepsRows) {
    // Numbers that were given out are not given out again, whoever held them.
    if (this->Era != 0) {
      Map.LastFence = std::max(Map.LastFence, Known.Map.LastFence);
      Map.LastMark = std::max(Map.LastMark, Known.Map.LastMark);
    }
    Known = {.Map = std::move(Map), .Revision = Revision};
    return true;
  }
  keyspace::MergedKeyMap Merged =
      keyspace::mergeNewest(Known.Map, Map, Map.Era >= this->Era);
  Known = {.Map = std::move(Merged.Map), .Revision = Revision};
  if (!Merged.Newer.Rows.empty()) {
    Known.Document = std::move(Map);
    Known.Newer = std::move(Merged.Newer);
    Known.NewerUntil = this->RowsCountUntil;
  }
  return true;
}

bool Membership::applyNewerRows(const keyspace::KeyMap &Rows) {
  auto Found = this->KeyMaps.find(Rows.Service);
  if (Found == this->KeyMaps.end() || eraOf(Found->second.Revision) < this->Era)
    return false;
  StoredKeyMap &Known = Found->second;
  keyspace::MergedKeyMap Merged =
      keyspace::mergeNewest(Rows, Known.Map, /*PreferDocument=*/true);
  Known.Map.LastFence = Merged.Map.LastFence;
  Known.Map.LastMark = Merged.Map.LastMark;
  if (Merged.Newer.Rows.empty())
    return false;
  if (!Known.Document)
    Known.Document = Known.Map;
  Known.Map = std::move(Merged.Map);
  Known.NewerUntil = this->LastNow + ReceivedRowsTime;
  if (this->EarlierRowsCount)
    Known.NewerUntil = std::max(Known.NewerUntil, this->RowsCountUntil);
  Known.Newer = keyspace::mergeNewest(Known.Map, *Known.Document, true).Newer;
  return true;
}

void Membership::markMissing(const std::string &Key, std::int64_t Revision,
                             Instant Now) {
  auto Found = this->Nodes.find(Key);
  // An entry that vanished with an older copy of the store is written again.
  if (this->VanishedAt && Found != this->Nodes.end() &&
      eraOf(Found->second.Revision) < this->Era)
    return;
  if (Key != this->EntryKey && Found != this->Nodes.end() &&
      Revision >= Found->second.Revision && !Found->second.MissingSince)
    Found->second.MissingSince = Now;
}

void Membership::onWatchUpdate(const StoreWatchUpdate &Update, Instant Now,
                               MembershipOutput &Out) {
  if (absl::IsOutOfRange(Update.Status)) {
    // The store discarded the history that the watch needs, so everything is
    // read again.
    this->ReadNeeded = true;
    this->ReadAt = Now + this->Options.HistoryPause;
    return;
  }
  if (!Update.Status.ok())
    return;
  this->ViewRevision = std::max(this->ViewRevision, Update.Revision);
  for (const StoreChange &Change : Update.Changes)
    if (Change.Deleted)
      this->markMissing(Change.Entry.Key, Change.Entry.ModRevision, Now);
    else
      this->applyEntry(Change.Entry, Out);
}

void Membership::announce(MembershipOutput &Out) const {
  Out.Announced = routing::NodeNotice{this->EntryRevision,
                                      encodeNodeEntry(this->LastSentEntry)};
}

void Membership::onAnnouncement(const std::string &From,
                                const routing::NodeNotice &Notice,
                                MembershipOutput &Out) {
  if (!this->Loaded || eraOf(Notice.Revision) != this->Era ||
      Notice.Revision <= this->ViewRevision)
    return;
  absl::StatusOr<NodeEntry> Decoded = decodeNodeEntry(Notice.Entry);
  if (!Decoded.ok() || Decoded->Node != From) {
    Out.Logs.push_back(
        {&events::EntryUnreadable,
         {{"key", From},
          {"why", Decoded.ok() ? "the entry belongs to another node"
                               : std::string(Decoded.status().message())}}});
    return;
  }
  this->applyEntry({.Key = keyspace::KeyPlanner::nodeEntryKey(From),
                    .Value = Notice.Entry,
                    .ModRevision = Notice.Revision},
                   Out);
}

std::size_t Membership::rank() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Nodes, [this](const auto &Entry) {
        return Entry.first < this->EntryKey && !Entry.second.MissingSince;
      }));
}

bool Membership::isUpToDate(Instant Now) const {
  return this->CurrentStep == Step::Live && this->Authority.isEstablished() &&
         this->StoreAnswers && Now - this->LastAnswerAt < MaxStoreSilence;
}

Duration Membership::answeredFor(Instant Now) const {
  return this->StoreAnswers && this->UpToDateSince != Instant()
             ? Now - this->UpToDateSince
             : Duration(0);
}

void Membership::tick(Instant Now, MembershipOutput &Out) {
  if (this->StepCallId == 0 && this->CurrentStep != Step::Live &&
      this->CurrentStep != Step::Idle && Now >= this->RetryAt) {
    if (this->CurrentStep == Step::Granting)
      this->requestLease(Now, Out);
    else if (this->CurrentStep == Step::Writing)
      this->writeEntry(Now, Out);
    else
      this->readAll(Now, Out);
  }
  if (this->CurrentStep == Step::Live && this->StepCallId == 0 &&
      this->ReadNeeded && Now >= this->ReadAt)
    this->readAll(Now, Out);
  if (this->Lease != 0 && this->RenewCallId == 0 && Now >= this->RenewAt) {
    StoreRequest Request =
        this->makeRequest(StoreLeaseKeepAlive{.Lease = this->Lease});
    this->RenewCallId = Request.Id;
    this->RenewSentAt = Now;
    Out.Calls.push_back(std::move(Request));
  }
  if (this->VanishedAt && Now >= *this->VanishedAt)
    this->markVanished(Now);
  std::vector<std::string> RemovedKeys;
  for (const auto &[Key, Node] : this->Nodes)
    if (Node.MissingSince && this->isUpToDate(Now) &&
        Now - *Node.MissingSince >= this->Options.MissingGrace)
      RemovedKeys.push_back(Key);
  for (const std::string &Key : RemovedKeys) {
    auto Found = this->Nodes.find(Key);
    const std::string &Node = Found->second.Entry.Node;
    Out.Logs.push_back({&events::NodeGone, {{"node", Node}}});
    Out.RemovedNodes.push_back(Node);
    this->Nodes.erase(Found);
    Out.NodesChanged = true;
  }
}

} // namespace orioledoor::sidecar
