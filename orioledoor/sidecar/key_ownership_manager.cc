// Grants, transfers and plans of one node.
#include "orioledoor/sidecar/key_ownership_manager.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "orioledoor/keyspace/key_map_change.h"
#include "orioledoor/keyspace/key_map_repair.h"
#include "orioledoor/sidecar/events.h"
#include "orioledoor/sidecar/store_era.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;

// Demand is measured over a second; a report every 300 ms follows its changes.
constexpr Duration LoadInterval = milliseconds(300);
constexpr Duration PlanInterval = milliseconds(100);
// Pause after a change that the store rejected or did not answer.
constexpr Duration WriteRetry = milliseconds(100);
// Nodes send each other new key maps. A read at this interval makes up for lost
// notices; it may return stale data, which costs a tenth of an ordinary read.
constexpr Duration MapReadInterval = milliseconds(3000);
// Minimum interval between key maps sent to a node that sends requests to
// former owners.
constexpr Duration KeyMapSendInterval = milliseconds(100);
// Time after which a write counts as unanswered; the store client gives up
// after a second.
constexpr Duration WriteTimeout = milliseconds(2500);
// Changes by different nodes can overtake each other by the difference of their
// distances and delays. After this time the missing one counts as lost.
constexpr Duration MaxGapTime = milliseconds(150);
// Interval between reads of a map while a change of it is missing.
constexpr Duration GapReadInterval = milliseconds(1000);
// Early changes of a service that are kept. Beyond that, the map is read.
constexpr std::size_t MaxEarlyChanges = 64;

// After the store came back from an older copy, the planning node repairs a map
// once the others could tell it what the map lacks: their watches notice the
// era within a retry of 250 ms, and a read and a message follow.
constexpr Duration RepairDelay = milliseconds(600);
// The other nodes write a repair themselves if it is still missing after this
// time, one after the other, so that their writes do not collide.
constexpr Duration RepairTakeover = milliseconds(2000);
constexpr Duration RepairTurn = milliseconds(100);
constexpr int MaxRepairTurns = 20;
// A target may hold keys without a record in the store until the authority
// from before the era has ended (8 s), plus the time limit of a call that
// repairs the record (1 s) and one for its message.
constexpr Duration UnrecordedHoldTime = milliseconds(10'000);
// A store that never came back from a copy states 0 or 1.
constexpr std::int64_t FirstEra = 1;
// Interval at which rows that the store lacks are sent to the planning node.
constexpr Duration RowSendInterval = milliseconds(300);

// Returns what tells other nodes that Map follows Before, without its revision.
// Before is null if there was no map.
routing::Message changeNotice(const StoredKeyMap *Before,
                              const keyspace::KeyMap &Map) {
  if (!Before)
    return routing::KeyMapNotice{.Map = keyspace::encodeKeyMap(Map)};
  return routing::KeyMapChangeNotice{
      .BaseRevision = Before->Revision,
      .Checksum = keyspace::checksum(Map),
      .Change =
          keyspace::encodeKeyMap(keyspace::changeBetween(Before->Map, Map))};
}

// Completes the result of changeNotice().
void setRevision(routing::Message &Notice, std::int64_t Revision) {
  if (auto *Change = std::get_if<routing::KeyMapChangeNotice>(&Notice))
    Change->Revision = Revision;
  else if (auto *Whole = std::get_if<routing::KeyMapNotice>(&Notice))
    Whole->Revision = Revision;
}
// Requests for which one may stand. An entry node sends a hundredth of the
// requests for a hot key at least.
constexpr std::uint32_t MaxDemand = 100;

} // namespace

KeyOwnershipManager::KeyOwnershipManager(KeyOwnershipOptions Options,
                                         Membership &Members)
    : Options(Options), Members(Members), Grantor(Options.Grants) {}

const StoredKeyMap *
KeyOwnershipManager::findKeyMap(std::string_view Service) const {
  auto Found = this->Members.keyMaps().find(Service);
  return Found == this->Members.keyMaps().end() ? nullptr : &Found->second;
}

routing::ReportAnswer
KeyOwnershipManager::answerReport(const routing::TargetReport &Report,
                                  const routing::TargetRef &Target, Instant Now,
                                  Effects &Out) {
  const StoredKeyMap *Stored = this->findKeyMap(Report.Service);
  bool MayHaveEnded = this->Members.possiblyEndedTarget() == Target;
  bool HasMap = Stored && !MayHaveEnded;
  Instant AuthorityEnd = this->Members.authority().expiresAt();
  std::optional<keyspace::KeyMap> Grantable;
  if (HasMap && this->Members.era() != 0) {
    Grantable = this->grantableRows(*Stored, Report, Target, Now);
    // Keys that the store does not give to the target are held no longer than
    // other nodes wait for such holds to end.
    if (Stored->Document)
      AuthorityEnd = std::min(AuthorityEnd, Stored->NewerUntil);
  }
  this->noteUnheldRows(Grantable ? Stored : nullptr, Grantable, Target, Now);
  const keyspace::KeyMap *Map = HasMap ? &Stored->Map : nullptr;
  keyspace::GrantDecision Decision = this->Grantor.answerReport(
      Report, Target, Grantable ? &*Grantable : Map, AuthorityEnd, Now);
  this->TransferService = Report.Service;
  this->TransferFrom = Target;
  this->PendingTransfers = std::move(Decision.Transfers);
  this->recordTransfers(Now, Out);
  bool RetainedBefore =
      std::exchange(this->RetainsKeys, Decision.RetainedKeys > 0);
  if (this->RetainsKeys && !RetainedBefore)
    Out.push_back(LogRecord{
        &events::KeysRetained,
        {{"service", Report.Service},
         {"instance", Target.Instance},
         {"keys", std::to_string(Decision.RetainedKeys)},
         {"for_ms", std::to_string((this->Grantor.earlierHoldsEnd() - Now) /
                                   milliseconds(1))}}});
  if (Decision.Answer.Grants != this->LastGrants) {
    this->LastGrants = Decision.Answer.Grants;
    std::uint64_t Keys = 0;
    for (const routing::GrantedRange &Range : this->LastGrants)
      Keys += Range.Keys.To - Range.Keys.From + 1;
    Out.push_back(LogRecord{
        &events::KeysGranted,
        {{"instance", Target.Instance},
         {"ranges", std::to_string(this->LastGrants.size())},
         {"keys", std::to_string(Keys)},
         {"map_revision",
          std::to_string(Stored ? storeRevision(Stored->Revision) : 0)},
         {"hold_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                        Decision.Answer.HoldTime)
                                        .count())}}});
  }
  return Decision.Answer;
}

keyspace::KeyMap KeyOwnershipManager::grantableRows(
    const StoredKeyMap &Stored, const routing::TargetReport &Report,
    const routing::TargetRef &Target, Instant Now) const {
  bool Settled = this->Members.isSettled(Stored);
  std::vector<keyspace::KeyRange> Held;
  std::ranges::transform(Report.Holds, std::back_inserter(Held),
                         &routing::HeldRange::Keys);
  keyspace::KeyMap Map = Stored.Map;
  // A row that is held in part is granted in part.
  for (const keyspace::KeyRange &Range : Held)
    Map.splitRowsAt(Range);
  std::erase_if(Map.Rows, [&](const keyspace::KeyRow &Row) {
    bool IsHeld = std::ranges::any_of(
        Held, [&Row](const auto &Range) { return Range.overlaps(Row.Keys); });
    bool IsNew = Settled && Row.Fence > Stored.Map.EraFence;
    // Keys that a node has not passed on, as far as it remembers, can be passed
    // on now.
    bool IsOffered = Row.Next && Now >= this->Grantor.earlierHoldsEnd() &&
                     (this->Members.knewEarlierRows() ||
                      !this->Members.mayMissHolds(UnrecordedHoldTime, Now));
    return Row.Owner != Target || (!IsHeld && !IsNew && !IsOffered);
  });
  // Splitting must not make more rows than an answer can list.
  Map.mergeAdjacentRows();
  return Map;
}

void KeyOwnershipManager::noteUnheldRows(
    const StoredKeyMap *Stored,
    const std::optional<keyspace::KeyMap> &Grantable,
    const routing::TargetRef &Target, Instant Now) {
  this->UnheldRows.clear();
  if (!Stored || !this->Members.isSettled(*Stored) || Stored->Document ||
      this->Members.mayMissHolds(UnrecordedHoldTime, Now))
    return;
  keyspace::KeyMap Map = Stored->Map;
  for (const keyspace::KeyRow &Row : Grantable->Rows)
    Map.splitRowsAt(Row.Keys);
  for (const keyspace::KeyRow &Row : Map.Rows)
    if (Row.Owner == Target && !Row.Next && Row.Fence <= Stored->Map.EraFence &&
        !Grantable->find(Row.Keys.From))
      this->UnheldRows.push_back(Row.Keys);
}

void KeyOwnershipManager::renewTokens(Instant Now, Effects &Out) {
  if (this->UnheldRows.empty() || !this->canWrite(this->TransferService, Now))
    return;
  const StoredKeyMap *Stored = this->findKeyMap(this->TransferService);
  if (!Stored || !this->Members.isSettled(*Stored))
    return;
  keyspace::KeyMap Map = Stored->Map;
  const std::int64_t Fence = Map.LastFence + 1;
  std::uint64_t Keys = 0;
  for (const keyspace::KeyRange &Range : this->UnheldRows)
    Map.splitRowsAt(Range);
  for (keyspace::KeyRow &Row : Map.Rows) {
    bool IsUnheld =
        std::ranges::any_of(this->UnheldRows, [&Row](const auto &Range) {
          return Range.contains(Row.Keys.From);
        });
    if (Row.Owner != this->TransferFrom || Row.Next || !IsUnheld ||
        Row.Fence > Map.EraFence)
      continue;
    Row.Fence = Map.LastFence = Fence;
    Keys += Row.Keys.To - Row.Keys.From + 1;
  }
  this->UnheldRows.clear();
  if (Keys == 0)
    return;
  Map.mergeAdjacentRows();
  Out.push_back(LogRecord{&events::TokensRenewed,
                          {{"service", this->TransferService},
                           {"instance", this->TransferFrom.Instance},
                           {"keys", std::to_string(Keys)},
                           {"fence", std::to_string(Fence)}}});
  this->writeKeyMap(this->TransferService, Map, {}, Now, Out);
}

bool KeyOwnershipManager::expectsKeys(std::string_view Service,
                                      const routing::TargetRef &Target) const {
  const StoredKeyMap *Stored = this->findKeyMap(Service);
  if (!Stored || Stored->Map.findLost(Target))
    return false;
  bool OwnsKeys = false;
  bool ReceivesKeys = false;
  for (const keyspace::KeyRow &Row : Stored->Map.Rows) {
    if (Row.Owner == Target && Row.Next)
      return false;
    OwnsKeys |= Row.Owner == Target;
    ReceivesKeys |= Row.Next == Target;
  }
  // A target without keys is new and will receive some.
  return ReceivesKeys || !OwnsKeys;
}

routing::KeyOwner KeyOwnershipManager::ownerOf(std::string_view Service,
                                               std::int32_t Key) const {
  const StoredKeyMap *Stored = this->findKeyMap(Service);
  if (!Stored)
    return {};
  const keyspace::KeyRow *Row =
      Stored->Map.find(static_cast<std::uint32_t>(Key));
  if (!Row || Stored->Map.findLost(Row->Owner))
    return {};
  return {.Node = Row->Owner.Node,
          .Target = Row->Owner,
          .Moving = static_cast<bool>(Row->Next),
          .MapRevision = Stored->Revision};
}

void KeyOwnershipManager::recordRequest(std::uint32_t Key, std::uint32_t Demand,
                                        Instant Now) {
  for (std::uint32_t I = 0; I < std::min(Demand, MaxDemand); ++I)
    this->Meter.recordRequest(Key, Now);
}

void KeyOwnershipManager::recordLoad(const routing::KeyLoadNotice &Notice,
                                     Instant Now) {
  this->Planners
      .try_emplace(Notice.Service, Notice.Service, this->Options.Plans)
      .first->second.recordLoad(Notice, Now);
}

routing::TargetRef
KeyOwnershipManager::ownerBeside(std::string_view Node) const {
  for (const auto &[Service, Stored] : this->Members.keyMaps()) {
    auto Found = std::ranges::find_if(
        Stored.Map.Rows,
        [Node](const keyspace::KeyRow &Row) { return Row.Owner.Node == Node; });
    if (Found != Stored.Map.Rows.end())
      return Found->Owner;
  }
  return {};
}

std::string KeyOwnershipManager::planningNode() const {
  for (const auto &[Key, Node] : this->Members.nodes())
    if (!Node.MissingSince)
      return Node.Entry.Node;
  return {};
}

void KeyOwnershipManager::reportLoad(std::string_view Service,
                                     const routing::TargetRef &Target,
                                     double Capacity, Instant Now,
                                     Effects &Out) {
  if (Now - this->LoadReportedAt < LoadInterval)
    return;
  this->LoadReportedAt = Now;
  std::string Planner = this->planningNode();
  if (Planner.empty())
    return;
  keyspace::KeyDemand Demand = this->Meter.measure(Now);
  Out.push_back(SendMessage{
      Planner,
      routing::KeyLoadNotice{.Service = std::string(Service),
                             .Target = Target,
                             .Rate = Demand.Rate,
                             .Capacity = Capacity,
                             .Quantiles = std::move(Demand.Quantiles)}});
}

std::vector<keyspace::PlannerNode> KeyOwnershipManager::plannerNodes(
    std::span<const std::string> AllowedRegions) const {
  routing::PlacementPolicy Policy(AllowedRegions, &this->Evacuations);
  std::vector<keyspace::PlannerNode> Result;
  for (const auto &[Key, Node] : this->Members.nodes()) {
    if (Node.MissingSince)
      continue;
    const NodeEntry &Entry = Node.Entry;
    Result.push_back({.Node = Entry.Node,
                      .EntryRevision = Node.Revision,
                      .Target = Entry.Target,
                      .Service = Entry.Service,
                      .Ready = Entry.State == routing::TargetState::Ready &&
                               Policy.check(Entry.Place) ==
                                   routing::PlacementVerdict::Allowed,
                      .Slots = Entry.Slots,
                      // An older copy may lack that it was withdrawn.
                      .Ended = Entry.StoreEra >= this->Members.era()
                                   ? Entry.Ended
                                   : routing::TargetRef()});
  }
  return Result;
}

bool KeyOwnershipManager::canWrite(const std::string &Service,
                                   Instant Now) const {
  auto Found = this->OpenWrites.find(Service);
  return Found == this->OpenWrites.end() || Now >= Found->second.NextWriteAt;
}

void KeyOwnershipManager::writeKeyMap(
    const std::string &Service, const keyspace::KeyMap &Map,
    const std::vector<keyspace::EntryCondition> &Conditions, Instant Now,
    Effects &Out) {
  const StoredKeyMap *Stored = this->findKeyMap(Service);
  std::string Key = KeysPrefix + Service;
  StoreTxn Txn;
  Txn.Compares.push_back({Key, Stored ? Stored->Revision : 0});
  for (const keyspace::EntryCondition &Condition : Conditions)
    Txn.Compares.push_back({Condition.Key, Condition.Revision});
  // A write from before a rise of the era may be executed after it, when the
  // map has the expected revision again. This node's entry, which is written
  // again after each rise, hardly has its old revision at the same time.
  if (this->Members.era() != 0)
    Txn.Compares.push_back(
        {this->Members.entryKey(), this->Members.entryRevision()});
  Txn.Puts.push_back({.Key = Key, .Value = keyspace::encodeKeyMap(Map)});
  OpenWrite &Write = this->OpenWrites[Service];
  Write = {this->NextId++, Now + WriteTimeout, Map, changeNotice(Stored, Map)};
  Out.push_back(CallStore{{.Id = Write.Id, .Body = std::move(Txn)}});
}

void KeyOwnershipManager::recordTransfers(Instant Now, Effects &Out) {
  if (this->PendingTransfers.empty() ||
      !this->canWrite(this->TransferService, Now))
    return;
  const StoredKeyMap *Stored = this->findKeyMap(this->TransferService);
  if (!Stored || !this->Members.isSettled(*Stored))
    return;
  keyspace::KeyMap Map = Stored->Map;
  std::uint64_t Keys = 0;
  for (const keyspace::KeyTransfer &Transfer : this->PendingTransfers) {
    Map.splitRowsAt(Transfer.Keys);
    for (keyspace::KeyRow &Row : Map.Rows) {
      if (Row.Owner != this->TransferFrom || !Row.Next ||
          !Row.Keys.overlaps(Transfer.Keys))
        continue;
      Keys += Row.Keys.To - Row.Keys.From + 1;
      Row = {.Keys = Row.Keys,
             .Owner = Row.Next,
             .Fence = ++Map.LastFence,
             .Handover = Transfer.Handover};
    }
  }
  if (Keys == 0)
    return;
  Map.mergeAdjacentRows();
  Out.push_back(LogRecord{
      &events::KeysTransferred,
      {{"service", this->TransferService},
       {"from", this->TransferFrom.Instance},
       {"keys", std::to_string(Keys)},
       {"map_revision", std::to_string(storeRevision(Stored->Revision))}}});
  this->writeKeyMap(this->TransferService, Map, {}, Now, Out);
}

void KeyOwnershipManager::tick(const routing::SharedRouteTable &Table,
                               Instant Now, Effects &Out) {
  this->recordTransfers(Now, Out);
  this->renewTokens(Now, Out);
  this->repairKeyMaps(Now, Out);
  this->readMapsWithGaps(Now, Out);
  if (Now - this->MapsReadAt >= MapReadInterval && this->Members.isLoaded()) {
    this->MapsReadAt = Now;
    this->readKeyMaps(KeysPrefix, true, true, Out);
  }
  if (!Table || Now - this->PlannedAt < PlanInterval)
    return;
  this->PlannedAt = Now;
  if (this->planningNode() != this->Members.selfEntry().Node ||
      !this->Members.isLoaded())
    return;
  bool StoreUpToDate = this->Members.isUpToDate(Now);
  for (const auto &[Name, Policy] : Table->Services) {
    if (!Policy.Partitioned || !this->canWrite(Name, Now))
      continue;
    keyspace::KeyPlanner &Planner =
        this->Planners.try_emplace(Name, Name, this->Options.Plans)
            .first->second;
    // Regions that no two routes share are logged by the reducer; keys that
    // some route can reach are better than none.
    auto Regions = routing::commonAllowedRegions(*Table, Name);
    std::vector<keyspace::PlannerNode> Nodes =
        this->plannerNodes(Regions.value_or(std::vector<std::string>()));
    const StoredKeyMap *Stored = this->findKeyMap(Name);
    // A map without rows vanished with the rollback.
    const keyspace::KeyMap *Map =
        Stored && !Stored->Map.Rows.empty() ? &Stored->Map : nullptr;
    // No plan is based on a map that is to be repaired. If the store lost its
    // first map, nodes that know it write it again.
    if (Map ? !this->Members.isSettled(*Stored) || Stored->Document
            : this->mayHaveLostFirstMap(Now))
      continue;
    std::optional<keyspace::KeyPlan> Plan =
        Planner.plan(Map, Nodes, StoreUpToDate, Now);
    if (!Plan)
      continue;
    if (!Map && this->Members.era() != 0)
      keyspace::startEra(Plan->Map, Stored ? Stored->Map : keyspace::KeyMap(),
                         this->Members.era());
    Out.push_back(LogRecord{
        &events::KeysPlanned,
        {{"service", Name},
         {"why", Plan->Reason},
         {"rows", std::to_string(Plan->Map.Rows.size())},
         {"last_fence", std::to_string(Plan->Map.LastFence)},
         {"map_revision",
          std::to_string(Stored ? storeRevision(Stored->Revision) : 0)}}});
    this->writeKeyMap(Name, Plan->Map, Plan->Conditions, Now, Out);
  }
}

void KeyOwnershipManager::onEraRisen() {
  this->OpenWrites.clear();
  this->Early.clear();
  this->Planners.clear();
}

bool KeyOwnershipManager::mayHaveLostFirstMap(Instant Now) const {
  if (this->Members.roseWithin(
          this->Members.knewEarlierRows() ? RepairTakeover : UnrecordedHoldTime,
          Now))
    return true;
  // The store came back from a copy before this process started, so targets may
  // hold keys of a map that nobody knows.
  return this->Members.era() > FirstEra && !this->Members.knewEarlierRows() &&
         Now - this->Members.eraSeenAt() < UnrecordedHoldTime;
}

Instant KeyOwnershipManager::repairTime(const StoredKeyMap &Stored) const {
  // Without newer rows of its own, a node can't tell who holds keys until all
  // holds that it does not know of have ended.
  bool Knows = this->Members.knowsEarlierRows() ||
               (Stored.Document && this->Members.isSettled(Stored));
  Instant From =
      this->Members.eraSeenAt() + (Knows ? Duration(0) : UnrecordedHoldTime);
  if (this->planningNode() == this->Members.selfEntry().Node)
    return From + RepairDelay;
  int Turn = std::min(static_cast<int>(this->Members.rank()), MaxRepairTurns);
  return From + RepairTakeover + RepairTurn * Turn;
}

void KeyOwnershipManager::repairKeyMaps(Instant Now, Effects &Out) {
  std::int64_t Era = this->Members.era();
  if (Era == 0 || !this->Members.isUpToDate(Now))
    return;
  bool SendsRows = Now - this->RowsSentAt >= RowSendInterval;
  std::string Planner = this->planningNode();
  const std::string &Self = this->Members.selfEntry().Node;
  for (const auto &[Service, Stored] : this->Members.keyMaps()) {
    bool Settled = this->Members.isSettled(Stored);
    if ((Settled && !Stored.Document) || eraOf(Stored.Revision) < Era ||
        Stored.Map.Rows.empty())
      continue;
    if (Stored.Document && SendsRows && Planner != Self && !Planner.empty()) {
      keyspace::KeyMap Rows =
          keyspace::rowsConcerning(Stored.Newer, *Stored.Document, Self);
      this->RowsSentAt = Now;
      if (!Rows.Rows.empty())
        Out.push_back(SendMessage{
            Planner, routing::KeyMapNotice{Stored.Revision,
                                           keyspace::encodeKeyMap(Rows)}});
    }
    if (Now < this->repairTime(Stored) || !this->canWrite(Service, Now))
      continue;
    keyspace::KeyMap Map =
        Settled ? Stored.Map : keyspace::repairedMap(Stored.Map, Era);
    Out.push_back(LogRecord{
        &events::KeysRepaired,
        {{"service", Service},
         {"store_era", std::to_string(Era)},
         {"newer_rows", std::to_string(Stored.Newer.Rows.size())},
         {"rows", std::to_string(Map.Rows.size())},
         {"last_fence", std::to_string(Map.LastFence)},
         {"map_revision", std::to_string(storeRevision(Stored.Revision))}}});
    ++this->Repairs;
    this->writeKeyMap(Service, Map, {}, Now, Out);
  }
}

void KeyOwnershipManager::readKeyMaps(std::string Key, bool Prefix,
                                      bool MayBeStale, Effects &Out) {
  Out.push_back(CallStore{{.Id = this->NextId++,
                           .Body = StoreRange{.Key = std::move(Key),
                                              .Prefix = Prefix,
                                              .AllowStale = MayBeStale}}});
}

bool KeyOwnershipManager::applyEntries(const StoreReply &Reply, Effects &Out) {
  bool Changed = false;
  for (const StoreEntry &Entry : Reply.Entries)
    if (Entry.Key.starts_with(KeysPrefix))
      Changed |=
          this->applyDocument({Entry.ModRevision, Entry.Value}, false, Out);
  return Changed;
}

bool KeyOwnershipManager::receiveKeyMap(const routing::KeyMapNotice &Notice,
                                        Effects &Out) {
  return this->applyDocument(Notice, true, Out);
}

bool KeyOwnershipManager::applyDocument(const routing::KeyMapNotice &Notice,
                                        bool FromNode, Effects &Out) {
  absl::StatusOr<keyspace::KeyMap> Map = keyspace::decodeKeyMap(Notice.Map);
  if (Map.ok()) {
    std::string Service = Map->Service;
    // A map without the era of its revision tells what the store's map lacks.
    if (FromNode && this->Members.era() != 0 && Map->Era < this->Members.era())
      return eraOf(Notice.Revision) == this->Members.era() &&
             this->Members.applyNewerRows(*Map);
    bool Changed = this->Members.applyKeyMap(*std::move(Map), Notice.Revision);
    return this->applyEarlyChanges(Service, Out) || Changed;
  }
  Out.push_back(LogRecord{&events::EntryUnreadable,
                          {{"revision", std::to_string(Notice.Revision)},
                           {"why", std::string(Map.status().message())}}});
  return false;
}

bool KeyOwnershipManager::receiveChange(
    const routing::KeyMapChangeNotice &Notice, Instant Now, Effects &Out) {
  absl::StatusOr<keyspace::KeyMap> Change =
      keyspace::decodeKeyMap(Notice.Change);
  if (!Change.ok()) {
    Out.push_back(LogRecord{&events::EntryUnreadable,
                            {{"revision", std::to_string(Notice.Revision)},
                             {"why", std::string(Change.status().message())}}});
    return false;
  }
  const StoredKeyMap *Stored = this->findKeyMap(Change->Service);
  // A change of an earlier era is late; one of a later era is in the maps that
  // this node reads once it knows the era.
  if (eraOf(Notice.Revision) != this->Members.era() ||
      (Stored && Notice.Revision <= Stored->Revision))
    return false;
  std::string Service = Change->Service;
  EarlyChanges &Waiting = this->Early[Service];
  if (Waiting.ByBase.empty())
    Waiting.Since = Now;
  if (Waiting.ByBase.size() < MaxEarlyChanges)
    Waiting.ByBase[Notice.BaseRevision] = {Notice.Revision, Notice.Checksum,
                                           *std::move(Change)};
  return this->applyEarlyChanges(Service, Out);
}

bool KeyOwnershipManager::applyEarlyChanges(const std::string &Service,
                                            Effects &Out) {
  auto Waiting = this->Early.find(Service);
  if (Waiting == this->Early.end())
    return false;
  auto &ByBase = Waiting->second.ByBase;
  bool Changed = false;
  const StoredKeyMap *Stored = this->findKeyMap(Service);
  while (Stored) {
    auto Next = ByBase.find(Stored->Revision);
    if (Next == ByBase.end())
      break;
    const EarlyChange &Early = Next->second;
    auto Map = keyspace::applyChange(Stored->Map, Early.Change, Early.Checksum);
    if (!Map) {
      Out.push_back(
          LogRecord{&events::EntryUnreadable,
                    {{"revision", std::to_string(Early.Revision)},
                     {"why", "the change does not fit the known key map"}}});
      break;
    }
    Changed |= this->Members.applyKeyMap(*std::move(Map), Early.Revision);
    ByBase.erase(Next);
    Stored = this->findKeyMap(Service);
  }
  // The known map includes the changes of earlier ones.
  if (Stored)
    ByBase.erase(ByBase.begin(), ByBase.lower_bound(Stored->Revision));
  if (ByBase.empty())
    this->Early.erase(Waiting);
  return Changed;
}

void KeyOwnershipManager::readMapsWithGaps(Instant Now, Effects &Out) {
  for (auto &[Service, Waiting] : this->Early) {
    if (Now - Waiting.Since < MaxGapTime)
      continue;
    Waiting.Since = Now + GapReadInterval;
    this->readKeyMaps(KeysPrefix + Service, false, false, Out);
  }
}

std::size_t KeyOwnershipManager::sendKeyMap(const std::string &Node,
                                            std::string_view Service,
                                            std::int64_t KnownRevision,
                                            Instant Now, Effects &Out) {
  const StoredKeyMap *Stored = this->findKeyMap(Service);
  if (!Stored || Stored->Revision <= KnownRevision)
    return 0;
  Instant &LastSentAt = this->KeyMapSentAt[Node];
  if (Now - LastSentAt < KeyMapSendInterval)
    return 0;
  LastSentAt = Now;
  std::string Map = keyspace::encodeKeyMap(Stored->Map);
  std::size_t Bytes = Map.size();
  Out.push_back(SendMessage{
      Node, routing::KeyMapNotice{Stored->Revision, std::move(Map)}});
  return Bytes;
}

bool KeyOwnershipManager::onStoreReply(const StoreReply &Reply, Instant Now,
                                       Effects &Out) {
  auto Found = std::ranges::find_if(this->OpenWrites, [&](const auto &Entry) {
    return Entry.second.Id == Reply.Id;
  });
  if (Found == this->OpenWrites.end())
    return this->applyEntries(Reply, Out);
  OpenWrite &Write = Found->second;
  if (Reply.Status.ok() && Reply.Succeeded) {
    Write.NextWriteAt = Now;
    setRevision(Write.Notice, Reply.Revision);
    Out.push_back(SendMessage{"", std::move(Write.Notice)});
    std::string Service = Found->first;
    bool Changed =
        this->Members.applyKeyMap(std::move(Write.Map), Reply.Revision);
    return this->applyEarlyChanges(Service, Out) || Changed;
  }
  Write.NextWriteAt = Now + WriteRetry;
  Out.push_back(LogRecord{
      &events::KeysRefused,
      {{"service", Found->first},
       {"why", Reply.Status.ok() ? std::string("another change came first")
                                 : std::string(Reply.Status.message())}}});
  if (Reply.Status.ok()) {
    auto Own = std::ranges::find(Reply.Entries, this->Members.entryKey(),
                                 &StoreEntry::Key);
    if (Own != Reply.Entries.end())
      this->Members.noteEntryRevision(Own->ModRevision);
  }
  // A failed call may have made the change nevertheless, so the key map is read
  // again.
  if (!Reply.Status.ok())
    this->readKeyMaps(KeysPrefix + Found->first, false, false, Out);
  return this->applyEntries(Reply, Out);
}

} // namespace orioledoor::sidecar
