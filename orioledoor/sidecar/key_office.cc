// Grants, transfers and plans of one node.
#include "orioledoor/sidecar/key_office.h"

#include <algorithm>
#include <utility>

#include "orioledoor/sidecar/events.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;

// Demand is measured over a second; a report every 300 ms follows it.
constexpr Duration LoadInterval = milliseconds(300);
constexpr Duration PlanInterval = milliseconds(100);
// Pause after a change that the store did not take or did not answer.
constexpr Duration WriteRetry = milliseconds(100);
// Nodes tell each other of new maps; a notice that was lost is made up for by
// a read this often, at a tenth of a read's price.
constexpr Duration MapReadInterval = milliseconds(3000);
// Pause between two notices to a node that sends requests to former owners.
constexpr Duration TellInterval = milliseconds(100);
// An answer that does not come; the store client gives up after a second.
constexpr Duration WriteTimeout = milliseconds(2500);

} // namespace

KeyOffice::KeyOffice(KeyOfficeOptions Options, Membership &Members)
    : Options(Options), Members(Members), Grantor(Options.Grants) {}

const StoredKeyMap *KeyOffice::mapOf(std::string_view Service) const {
  auto Found = this->Members.keyMaps().find(Service);
  return Found == this->Members.keyMaps().end() ? nullptr : &Found->second;
}

routing::ReportAnswer KeyOffice::report(const routing::TargetReport &Report,
                                        const routing::TargetRef &Target,
                                        Instant Now, Effects &Out) {
  const StoredKeyMap *Stored = this->mapOf(Report.Service);
  bool SaidEnded = this->Members.saidEnded() == Target;
  keyspace::GrantDecision Decision = this->Grantor.answerReport(
      Report, Target, Stored && !SaidEnded ? &Stored->Map : nullptr,
      this->Members.authority().until(), Now);
  this->TransferService = Report.Service;
  this->TransferFrom = Target;
  this->Transfers = std::move(Decision.Transfers);
  this->recordTransfers(Now, Out);
  if (Decision.Answer.Grants != this->LastGrants) {
    this->LastGrants = Decision.Answer.Grants;
    std::uint64_t Keys = 0;
    for (const routing::GrantedRange &Each : this->LastGrants)
      Keys += Each.Keys.To - Each.Keys.From + 1;
    Out.push_back(LogRecord{
        &events::KeysGranted,
        {{"instance", Target.Instance},
         {"ranges", std::to_string(this->LastGrants.size())},
         {"keys", std::to_string(Keys)},
         {"map_revision", std::to_string(Stored ? Stored->Revision : 0)},
         {"hold_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                        Decision.Answer.HoldTime)
                                        .count())}}});
  }
  return Decision.Answer;
}

bool KeyOffice::expectsKeys(std::string_view Service,
                            const routing::TargetRef &Target) const {
  const StoredKeyMap *Stored = this->mapOf(Service);
  if (!Stored || Stored->Map.findLost(Target))
    return false;
  bool Owns = false;
  bool Comes = false;
  for (const keyspace::KeyRow &Row : Stored->Map.Rows) {
    if (Row.Owner == Target && Row.Next)
      return false;
    Owns |= Row.Owner == Target;
    Comes |= Row.Next == Target;
  }
  // A target without keys is new and will get some.
  return Comes || !Owns;
}

routing::KeyOwner KeyOffice::ownerOf(std::string_view Service,
                                     std::int32_t Key) const {
  const StoredKeyMap *Stored = this->mapOf(Service);
  if (!Stored)
    return {};
  const keyspace::KeyRow *Row =
      Stored->Map.find(static_cast<std::uint32_t>(Key));
  if (!Row || Stored->Map.findLost(Row->Owner))
    return {};
  return {.Node = Row->Owner.Node, .Moving = static_cast<bool>(Row->Next)};
}

void KeyOffice::noteLoad(const routing::KeyLoadNotice &Notice, Instant Now) {
  this->Planners
      .try_emplace(Notice.Service, Notice.Service, this->Options.Plans)
      .first->second.noteLoad(Notice, Now);
}

std::string KeyOffice::planningNode() const {
  for (const auto &[Key, Node] : this->Members.nodes())
    if (!Node.MissingSince)
      return Node.Entry.Node;
  return {};
}

void KeyOffice::reportLoad(std::string_view Service,
                           const routing::TargetRef &Target, double Capacity,
                           Instant Now, Effects &Out) {
  if (Now - this->LoadReportedAt < LoadInterval)
    return;
  this->LoadReportedAt = Now;
  std::string Planner = this->planningNode();
  if (Planner.empty())
    return;
  keyspace::KeyDemand Demand = this->Meter.read(Now);
  Out.push_back(SendMessage{
      Planner,
      routing::KeyLoadNotice{.Service = std::string(Service),
                             .Target = Target,
                             .Rate = Demand.Rate,
                             .Capacity = Capacity,
                             .Quantiles = std::move(Demand.Quantiles)}});
}

std::vector<keyspace::PlannedNode> KeyOffice::plannedNodes() const {
  std::vector<keyspace::PlannedNode> Result;
  for (const auto &[Key, Node] : this->Members.nodes()) {
    if (Node.MissingSince)
      continue;
    const NodeEntry &Entry = Node.Entry;
    Result.push_back({.Node = Entry.Node,
                      .EntryRevision = Node.Revision,
                      .Target = Entry.Target,
                      .Service = Entry.Service,
                      .Ready = Entry.State == routing::TargetState::Ready,
                      .Slots = Entry.Slots,
                      .Ended = Entry.Ended});
  }
  return Result;
}

bool KeyOffice::mayWrite(const std::string &Service, Instant Now) const {
  auto Found = this->Writes.find(Service);
  return Found == this->Writes.end() || Now >= Found->second.NextAt;
}

void KeyOffice::write(const std::string &Service, const keyspace::KeyMap &Map,
                      const std::vector<keyspace::EntryCondition> &Conditions,
                      Instant Now, Effects &Out) {
  const StoredKeyMap *Stored = this->mapOf(Service);
  std::string Key = KeysPrefix + Service;
  StoreTxn Txn;
  Txn.Compares.push_back({Key, Stored ? Stored->Revision : 0});
  for (const keyspace::EntryCondition &Each : Conditions)
    Txn.Compares.push_back({Each.Key, Each.Revision});
  Txn.Puts.push_back({.Key = Key, .Value = keyspace::encodeKeyMap(Map)});
  OpenWrite &Open = this->Writes[Service];
  Open = {this->NextId++, Now + WriteTimeout, Map};
  Out.push_back(CallStore{{.Id = Open.Id, .Body = std::move(Txn)}});
}

void KeyOffice::recordTransfers(Instant Now, Effects &Out) {
  if (this->Transfers.empty() || !this->mayWrite(this->TransferService, Now))
    return;
  const StoredKeyMap *Stored = this->mapOf(this->TransferService);
  if (!Stored)
    return;
  keyspace::KeyMap Map = Stored->Map;
  std::uint64_t Keys = 0;
  for (const keyspace::KeyTransfer &Each : this->Transfers) {
    Map.splitAt(Each.Keys);
    for (keyspace::KeyRow &Row : Map.Rows) {
      if (Row.Owner != this->TransferFrom || !Row.Next ||
          !Row.Keys.overlaps(Each.Keys))
        continue;
      Keys += Row.Keys.To - Row.Keys.From + 1;
      Row = {.Keys = Row.Keys,
             .Owner = Row.Next,
             .Fence = ++Map.LastFence,
             .Handover = Each.Handover};
    }
  }
  if (Keys == 0)
    return;
  Map.mergeNeighbours();
  Out.push_back(
      LogRecord{&events::KeysTransferred,
                {{"service", this->TransferService},
                 {"from", this->TransferFrom.Instance},
                 {"keys", std::to_string(Keys)},
                 {"map_revision", std::to_string(Stored->Revision)}}});
  this->write(this->TransferService, Map, {}, Now, Out);
}

void KeyOffice::tick(const routing::SharedTable &Table, Instant Now,
                     Effects &Out) {
  this->recordTransfers(Now, Out);
  if (Now - this->MapsReadAt >= MapReadInterval && this->Members.known()) {
    this->MapsReadAt = Now;
    this->read(KeysPrefix, true, true, Out);
  }
  if (!Table || Now - this->PlannedAt < PlanInterval)
    return;
  this->PlannedAt = Now;
  if (this->planningNode() != this->Members.self().Node ||
      !this->Members.known())
    return;
  std::vector<keyspace::PlannedNode> Nodes = this->plannedNodes();
  bool Fresh = this->Members.fresh(Now);
  for (const auto &[Name, Policy] : Table->Services) {
    if (!Policy.Partitioned || !this->mayWrite(Name, Now))
      continue;
    keyspace::KeyPlanner &Planner =
        this->Planners.try_emplace(Name, Name, this->Options.Plans)
            .first->second;
    const StoredKeyMap *Stored = this->mapOf(Name);
    std::optional<keyspace::KeyPlan> Plan =
        Planner.plan(Stored ? &Stored->Map : nullptr, Nodes, Fresh, Now);
    if (!Plan)
      continue;
    Out.push_back(LogRecord{
        &events::KeysPlanned,
        {{"service", Name},
         {"why", Plan->Reason},
         {"rows", std::to_string(Plan->Map.Rows.size())},
         {"last_fence", std::to_string(Plan->Map.LastFence)},
         {"map_revision", std::to_string(Stored ? Stored->Revision : 0)}}});
    this->write(Name, Plan->Map, Plan->Conditions, Now, Out);
  }
}

void KeyOffice::read(std::string Key, bool Prefix, bool MayBeStale,
                     Effects &Out) {
  Out.push_back(CallStore{{.Id = this->NextId++,
                           .Body = StoreRange{.Key = std::move(Key),
                                              .Prefix = Prefix,
                                              .AllowStale = MayBeStale}}});
}

bool KeyOffice::takeEntries(const StoreReply &Reply, Effects &Out) {
  bool Changed = false;
  for (const StoreEntry &Entry : Reply.Entries)
    if (Entry.Key.starts_with(KeysPrefix))
      Changed |= this->told({Entry.ModRevision, Entry.Value}, Out);
  return Changed;
}

bool KeyOffice::told(const routing::KeyMapNotice &Notice, Effects &Out) {
  absl::StatusOr<keyspace::KeyMap> Map = keyspace::decodeKeyMap(Notice.Map);
  if (Map.ok())
    return this->Members.takeKeyMap(*std::move(Map), Notice.Revision);
  Out.push_back(LogRecord{&events::EntryUnreadable,
                          {{"revision", std::to_string(Notice.Revision)},
                           {"why", std::string(Map.status().message())}}});
  return false;
}

void KeyOffice::tellOwners(const std::string &Node, std::string_view Service,
                           Instant Now, Effects &Out) {
  const StoredKeyMap *Stored = this->mapOf(Service);
  Instant &Last = this->ToldAt[Node];
  if (!Stored || Now - Last < TellInterval)
    return;
  Last = Now;
  Out.push_back(SendMessage{
      Node, routing::KeyMapNotice{Stored->Revision,
                                  keyspace::encodeKeyMap(Stored->Map)}});
}

bool KeyOffice::replied(const StoreReply &Reply, Instant Now, Effects &Out) {
  auto Found = std::ranges::find_if(this->Writes, [&](const auto &Entry) {
    return Entry.second.Id == Reply.Id;
  });
  if (Found == this->Writes.end())
    return this->takeEntries(Reply, Out);
  OpenWrite &Open = Found->second;
  if (Reply.Status.ok() && Reply.Succeeded) {
    Open.NextAt = Now;
    Out.push_back(
        SendMessage{"", routing::KeyMapNotice{
                            Reply.Revision, keyspace::encodeKeyMap(Open.Map)}});
    return this->Members.takeKeyMap(std::move(Open.Map), Reply.Revision);
  }
  Open.NextAt = Now + WriteRetry;
  Out.push_back(LogRecord{
      &events::KeysRefused,
      {{"service", Found->first},
       {"why", Reply.Status.ok() ? std::string("another change came first")
                                 : std::string(Reply.Status.message())}}});
  // The change may have been made all the same.
  if (!Reply.Status.ok())
    this->read(KeysPrefix + Found->first, false, false, Out);
  return this->takeEntries(Reply, Out);
}

} // namespace orioledoor::sidecar
