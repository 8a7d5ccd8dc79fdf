// First owners, losses, departures and balance of one service's keys.
#include "orioledoor/keyspace/key_planner.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "orioledoor/keyspace/key_balance.h"

namespace orioledoor::keyspace {
namespace {

// A load report older than this no longer describes the demand.
constexpr Duration LoadLifetime = std::chrono::milliseconds(2500);

const PlannedNode *nodeAt(std::span<const PlannedNode> Nodes,
                          std::string_view Address) {
  auto Found = std::ranges::find(Nodes, Address, &PlannedNode::Node);
  return Found == Nodes.end() ? nullptr : &*Found;
}

std::vector<const PlannedNode *> readyNodes(std::span<const PlannedNode> Nodes,
                                            std::string_view Service) {
  std::vector<const PlannedNode *> Ready;
  for (const PlannedNode &Each : Nodes)
    if (Each.Ready && Each.Target && Each.Target != Each.Ended &&
        Each.Service == Service)
      Ready.push_back(&Each);
  return Ready;
}

bool isReady(std::span<const PlannedNode> Nodes, std::string_view Service,
             const TargetRef &Target) {
  const PlannedNode *At = nodeAt(Nodes, Target.Node);
  return At && At->Ready && At->Target == Target && At->Ended != Target &&
         At->Service == Service;
}

std::uint64_t keysOf(const KeyMap &Map, const TargetRef &Target) {
  std::uint64_t Sum = 0;
  for (const KeyRow &Row : Map.Rows)
    if ((Row.Next ? Row.Next : Row.Owner) == Target)
      Sum += Row.Keys.To - Row.Keys.From + 1;
  return Sum;
}

// The ready target with the fewest keys a slot.
const PlannedNode *leastLoaded(const KeyMap &Map,
                               std::span<const PlannedNode *const> Ready) {
  auto Found = std::ranges::min_element(Ready, {}, [&Map](const auto *Each) {
    return static_cast<double>(keysOf(Map, Each->Target)) /
           std::max<std::uint32_t>(Each->Slots, 1);
  });
  return Found == Ready.end() ? nullptr : *Found;
}

} // namespace

KeyPlanner::KeyPlanner(std::string Service, KeyPlannerOptions Options)
    : Service(std::move(Service)), Options(Options) {}

std::string KeyPlanner::entryKeyOf(std::string_view Node) {
  constexpr std::string_view Scheme = "tcp://";
  if (Node.starts_with(Scheme))
    Node.remove_prefix(Scheme.size());
  return "oriole/nodes/" + std::string(Node);
}

void KeyPlanner::noteLoad(const routing::KeyLoadNotice &Notice, Instant Now) {
  this->Loads[Notice.Target] = {Notice, Now};
}

KeyPlanner::OwnerState
KeyPlanner::stateOf(const TargetRef &Owner,
                    std::span<const PlannedNode> Nodes) const {
  const PlannedNode *At = nodeAt(Nodes, Owner.Node);
  if (!At)
    return OwnerState::Missing;
  // An entry that was written late may name an earlier life.
  bool Replaced = At->Target && At->Target.StartTimeMs > Owner.StartTimeMs;
  return Replaced || At->Ended == Owner ? OwnerState::Ended : OwnerState::Alive;
}

std::optional<KeyPlan> KeyPlanner::planFirst(std::span<const PlannedNode> Nodes,
                                             Instant Now) {
  std::vector<const PlannedNode *> Ready = readyNodes(Nodes, this->Service);
  std::vector<TargetRef> Targets;
  std::ranges::transform(Ready, std::back_inserter(Targets),
                         &PlannedNode::Target);
  std::ranges::sort(Targets);
  if (Targets != this->LastReady) {
    this->LastReady = Targets;
    this->ReadyChangedAt = Now;
  }
  if (Ready.empty() || Now - this->ReadyChangedAt < this->Options.SettleTime)
    return std::nullopt;
  KeyPlan Plan;
  Plan.Reason = "first owners";
  Plan.Map.Service = this->Service;
  std::uint64_t AllSlots = 0;
  for (const PlannedNode *Each : Ready)
    AllSlots += Each->Slots;
  std::uint64_t SlotsBefore = 0;
  std::uint32_t From = 0;
  for (const PlannedNode *Each : Ready) {
    SlotsBefore += Each->Slots;
    auto End =
        static_cast<std::uint32_t>((LastKey + 1) * SlotsBefore / AllSlots);
    if (End > From)
      Plan.Map.Rows.push_back({.Keys = {From, End - 1},
                               .Owner = Each->Target,
                               .Fence = ++Plan.Map.LastFence});
    From = End;
  }
  return Plan;
}

bool KeyPlanner::planMarks(KeyPlan &Plan, std::span<const PlannedNode> Nodes,
                           bool StoreFresh, Instant Now) {
  KeyMap &Map = Plan.Map;
  std::vector<TargetRef> Owners;
  for (const KeyRow &Row : Map.Rows)
    if (std::ranges::find(Owners, Row.Owner) == Owners.end())
      Owners.push_back(Row.Owner);
  bool Changed = false;
  for (const TargetRef &Owner : Owners) {
    bool Missing = this->stateOf(Owner, Nodes) == OwnerState::Missing;
    if (!Missing || !StoreFresh) {
      this->MissedAt.erase(Owner);
      if (!Missing && Map.findLost(Owner)) {
        std::erase_if(Map.Lost, [&Owner](const LostTarget &Each) {
          return Each.Target == Owner;
        });
        Plan.Reason += "returned " + Owner.Instance + "; ";
        Changed = true;
      }
      continue;
    }
    Instant Since = this->MissedAt.try_emplace(Owner, Now).first->second;
    if (Map.findLost(Owner) || Now - Since < this->Options.MissingGrace)
      continue;
    Map.Lost.push_back({Owner, ++Map.LastMark});
    Plan.Conditions.push_back({entryKeyOf(Owner.Node), 0});
    Plan.Reason += "lost " + Owner.Instance + "; ";
    Changed = true;
  }
  std::erase_if(Map.Lost, [&](const LostTarget &Each) {
    bool Unused = std::ranges::find(Owners, Each.Target) == Owners.end();
    Changed |= Unused;
    return Unused;
  });
  return Changed;
}

bool KeyPlanner::planReplacements(KeyPlan &Plan,
                                  std::span<const PlannedNode> Nodes,
                                  Instant Now) {
  KeyMap &Map = Plan.Map;
  std::vector<const PlannedNode *> Ready = readyNodes(Nodes, this->Service);
  bool Changed = false;
  for (KeyRow &Row : Map.Rows) {
    const LostTarget *Lost = Map.findLost(Row.Owner);
    auto Seen =
        Lost ? this->MarkSeenAt.find(Lost->Mark) : this->MarkSeenAt.end();
    bool Over = Seen != this->MarkSeenAt.end() &&
                Now - Seen->second >= this->Options.LostWait;
    if (!Over && this->stateOf(Row.Owner, Nodes) != OwnerState::Ended)
      continue;
    // A new life on the same VM keeps the keys where they were.
    const PlannedNode *Same = nodeAt(Nodes, Row.Owner.Node);
    if (Over && Same)
      continue;
    TargetRef To;
    if (Same && isReady(Nodes, this->Service, Same->Target))
      To = Same->Target;
    else if (Row.Next && isReady(Nodes, this->Service, Row.Next))
      To = Row.Next;
    else if (const PlannedNode *Least = leastLoaded(Map, Ready))
      To = Least->Target;
    if (!To)
      continue;
    // The owner's node may take its word back that the target has ended.
    EntryCondition Condition{entryKeyOf(Row.Owner.Node),
                             Same ? Same->EntryRevision : 0};
    if (!Over &&
        std::ranges::find(Plan.Conditions, Condition) == Plan.Conditions.end())
      Plan.Conditions.push_back(std::move(Condition));
    Plan.Reason += "replaced " + Row.Owner.Instance + "; ";
    Row = {.Keys = Row.Keys, .Owner = To, .Fence = ++Map.LastFence};
    Changed = true;
  }
  return Changed;
}

bool KeyPlanner::planDepartures(KeyPlan &Plan,
                                std::span<const PlannedNode> Nodes) {
  KeyMap &Map = Plan.Map;
  std::vector<const PlannedNode *> Ready = readyNodes(Nodes, this->Service);
  bool Changed = false;
  for (KeyRow &Row : Map.Rows) {
    if (Row.Next && !isReady(Nodes, this->Service, Row.Next)) {
      Row.Next = {};
      Plan.Reason += "move ended; ";
      Changed = true;
    }
    const PlannedNode *At = nodeAt(Nodes, Row.Owner.Node);
    if (Row.Next || !At || At->Target != Row.Owner || At->Ready)
      continue;
    const PlannedNode *Least = leastLoaded(Map, Ready);
    if (!Least)
      continue;
    Row.Next = Least->Target;
    Plan.Reason += "leaving " + Row.Owner.Instance + "; ";
    Changed = true;
  }
  return Changed;
}

bool KeyPlanner::planNewcomer(KeyPlan &Plan,
                              std::span<const PlannedNode> Nodes) {
  KeyMap &Map = Plan.Map;
  std::vector<const PlannedNode *> Ready = readyNodes(Nodes, this->Service);
  auto Newcomer = std::ranges::find_if(Ready, [&Map](const auto *Each) {
    return keysOf(Map, Each->Target) == 0;
  });
  auto Largest = std::ranges::max_element(Map.Rows, {}, [](const KeyRow &Row) {
    return Row.Keys.To - Row.Keys.From;
  });
  if (Newcomer == Ready.end() || Largest == Map.Rows.end() ||
      Largest->Keys.From == Largest->Keys.To)
    return false;
  KeyRange Half{Largest->Keys.From +
                    (Largest->Keys.To - Largest->Keys.From) / 2 + 1,
                Largest->Keys.To};
  Map.splitAt(Half);
  for (KeyRow &Row : Map.Rows)
    if (Row.Keys == Half)
      Row.Next = (*Newcomer)->Target;
  Plan.Reason += "newcomer " + (*Newcomer)->Target.Instance + "; ";
  return true;
}

bool KeyPlanner::planBalance(KeyPlan &Plan, std::span<const PlannedNode> Nodes,
                             Instant Now) {
  KeyMap &Map = Plan.Map;
  bool Busy = std::ranges::any_of(
      Map.Rows, [](const KeyRow &Row) { return static_cast<bool>(Row.Next); });
  // A move from a node that is cut off waits for that node's loss; the others
  // must not wait with it.
  if (Now - this->BalancedAt <
      (Busy ? this->Options.StuckTime : this->Options.RestTime))
    return false;
  if (this->planNewcomer(Plan, Nodes)) {
    this->BalancedAt = Now;
    return true;
  }
  std::vector<TargetLoad> Loads;
  for (const PlannedNode *Each : readyNodes(Nodes, this->Service)) {
    auto Found = this->Loads.find(Each->Target);
    if (Found == this->Loads.end() || Now - Found->second.At > LoadLifetime)
      continue;
    const routing::KeyLoadNotice &Notice = Found->second.Notice;
    Loads.push_back(
        {Each->Target, Notice.Rate, Notice.Capacity, Notice.Quantiles});
  }
  std::vector<KeyMove> Moves = planMoves(Map, Loads);
  for (const KeyMove &Move : Moves) {
    Map.splitAt(Move.Keys);
    for (KeyRow &Row : Map.Rows)
      if (Row.Owner == Move.From && Row.Keys.overlaps(Move.Keys))
        Row.Next = Move.To;
    Plan.Reason +=
        "balance " + Move.From.Instance + " to " + Move.To.Instance + "; ";
  }
  if (Moves.empty())
    return false;
  this->BalancedAt = Now;
  return true;
}

std::optional<KeyPlan> KeyPlanner::plan(const KeyMap *Map,
                                        std::span<const PlannedNode> Nodes,
                                        bool StoreFresh, Instant Now) {
  std::erase_if(this->Loads, [Now](const auto &Entry) {
    return Now - Entry.second.At > LoadLifetime;
  });
  if (!Map)
    return StoreFresh ? this->planFirst(Nodes, Now) : std::nullopt;
  // Only marks that are recorded count: a planned one may never be written.
  std::erase_if(this->MarkSeenAt, [Map](const auto &Entry) {
    return std::ranges::find(Map->Lost, Entry.first, &LostTarget::Mark) ==
           Map->Lost.end();
  });
  for (const LostTarget &Each : Map->Lost)
    this->MarkSeenAt.try_emplace(Each.Mark, Now);
  KeyPlan Plan;
  Plan.Map = *Map;
  bool Changed = this->planMarks(Plan, Nodes, StoreFresh, Now);
  Changed |= this->planReplacements(Plan, Nodes, Now);
  Changed |= this->planDepartures(Plan, Nodes);
  Changed |= !Changed && this->planBalance(Plan, Nodes, Now);
  if (!Changed)
    return std::nullopt;
  Plan.Map.mergeNeighbours();
  return Plan;
}

} // namespace orioledoor::keyspace
