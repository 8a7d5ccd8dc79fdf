// Initial owners, lost targets, departures and rebalancing of the keys of one
// service.
#include "orioledoor/keyspace/key_planner.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>
#include <utility>

#include "orioledoor/keyspace/key_balance.h"

namespace orioledoor::keyspace {
namespace {

// Load reports older than this no longer describe the demand.
constexpr Duration MaxLoadReportAge = std::chrono::milliseconds(2500);
// Rows of one target above which its adjacent ones are merged under a new
// token. It must be above what moves lead to (MaxRowsPerTarget), since tokens
// of rows that can't be merged would change for nothing, and below the 70 to
// 100 rows that an answer can list.
constexpr std::size_t MaxSeparateRows = 60;
// Runs of adjacent rows into which the keys of lost targets are divided once
// the targets that are left have many rows.
constexpr double RunsPerService = 16;
// A key that has moved stays for this long. It is not served for about a second
// of each move, and no target serves it faster than the last one did.
constexpr Duration KeySettleTime = std::chrono::seconds(10);

const PlannerNode *findNode(std::span<const PlannerNode> Nodes,
                            std::string_view Address) {
  auto Found = std::ranges::find(Nodes, Address, &PlannerNode::Node);
  return Found == Nodes.end() ? nullptr : &*Found;
}

std::vector<const PlannerNode *> readyNodes(std::span<const PlannerNode> Nodes,
                                            std::string_view Service) {
  std::vector<const PlannerNode *> Ready;
  for (const PlannerNode &Node : Nodes)
    if (Node.Ready && Node.Target && Node.Target != Node.Ended &&
        Node.Service == Service)
      Ready.push_back(&Node);
  return Ready;
}

bool isReady(std::span<const PlannerNode> Nodes, std::string_view Service,
             const TargetRef &Target) {
  const PlannerNode *Node = findNode(Nodes, Target.Node);
  return Node && Node->Ready && Node->Target == Target &&
         Node->Ended != Target && Node->Service == Service;
}

std::uint64_t countKeys(const KeyMap &Map, const TargetRef &Target) {
  std::uint64_t Sum = 0;
  for (const KeyRow &Row : Map.Rows)
    if ((Row.Next ? Row.Next : Row.Owner) == Target)
      Sum += Row.Keys.To - Row.Keys.From + 1;
  return Sum;
}

double keysPerSlot(const KeyMap &Map, const PlannerNode &Node) {
  return static_cast<double>(countKeys(Map, Node.Target)) /
         std::max<std::uint32_t>(Node.Slots, 1);
}

// Returns the ready target with the fewest keys per slot.
const PlannerNode *leastLoaded(const KeyMap &Map,
                               std::span<const PlannerNode *const> Ready) {
  auto Found = std::ranges::min_element(
      Ready, {}, [&Map](const auto *Node) { return keysPerSlot(Map, *Node); });
  return Found == Ready.end() ? nullptr : *Found;
}

// Returns the ready target that gets a row of a lost one, or null if there is
// none. Adjacent: the target that got the row before in the same plan.
const PlannerNode *chooseReplacement(const KeyMap &Map,
                                     std::span<const PlannerNode *const> Ready,
                                     const TargetRef &Adjacent) {
  const PlannerNode *Least = leastLoaded(Map, Ready);
  if (!Least || countRows(Map, Least->Target) < MaxRowsPerTarget)
    return Least;
  auto Found = std::ranges::find(Ready, Adjacent, &PlannerNode::Target);
  if (Found == Ready.end())
    return Least;
  // Rows that are given to one target side by side become one. The targets take
  // turns only when their shares differ by much.
  double MaxExcess = static_cast<double>(LastKey + 1) / RunsPerService /
                     std::max<std::uint32_t>(Least->Slots, 1);
  return keysPerSlot(Map, **Found) <= keysPerSlot(Map, *Least) + MaxExcess
             ? *Found
             : Least;
}

} // namespace

KeyPlanner::KeyPlanner(std::string Service, KeyPlannerOptions Options)
    : Service(std::move(Service)), Options(Options) {}

std::string KeyPlanner::nodeEntryKey(std::string_view Node) {
  constexpr std::string_view Scheme = "tcp://";
  if (Node.starts_with(Scheme))
    Node.remove_prefix(Scheme.size());
  return "oriole/nodes/" + std::string(Node);
}

void KeyPlanner::recordLoad(const routing::KeyLoadNotice &Notice, Instant Now) {
  this->Loads[Notice.Target] = {Notice, Now};
}

KeyPlanner::OwnerState
KeyPlanner::ownerState(const TargetRef &Owner,
                       std::span<const PlannerNode> Nodes) const {
  const PlannerNode *Node = findNode(Nodes, Owner.Node);
  if (!Node)
    return OwnerState::Missing;
  // A delayed write may show an earlier process of the target, so only a later
  // one counts as a replacement.
  bool Replaced = Node->Target && Node->Target.StartTimeMs > Owner.StartTimeMs;
  return Replaced || Node->Ended == Owner ? OwnerState::Ended
                                          : OwnerState::Alive;
}

std::optional<KeyPlan>
KeyPlanner::planInitialOwners(std::span<const PlannerNode> Nodes, Instant Now) {
  std::vector<const PlannerNode *> Ready = readyNodes(Nodes, this->Service);
  std::vector<TargetRef> Targets;
  std::ranges::transform(Ready, std::back_inserter(Targets),
                         &PlannerNode::Target);
  std::ranges::sort(Targets);
  if (Targets != this->LastReadyTargets) {
    this->LastReadyTargets = Targets;
    this->ReadyChangedAt = Now;
  }
  if (Ready.empty() || Now - this->ReadyChangedAt < this->Options.SettleTime)
    return std::nullopt;
  KeyPlan Plan;
  Plan.Reason = "first owners";
  Plan.Map.Service = this->Service;
  std::uint64_t TotalSlots = 0;
  for (const PlannerNode *Node : Ready)
    TotalSlots += Node->Slots;
  std::uint64_t AssignedSlots = 0;
  std::uint32_t FirstKey = 0;
  for (const PlannerNode *Node : Ready) {
    AssignedSlots += Node->Slots;
    auto EndKey =
        static_cast<std::uint32_t>((LastKey + 1) * AssignedSlots / TotalSlots);
    if (EndKey > FirstKey)
      Plan.Map.Rows.push_back({.Keys = {FirstKey, EndKey - 1},
                               .Owner = Node->Target,
                               .Fence = ++Plan.Map.LastFence});
    FirstKey = EndKey;
  }
  return Plan;
}

bool KeyPlanner::planLostMarks(KeyPlan &Plan,
                               std::span<const PlannerNode> Nodes,
                               bool StoreUpToDate, Instant Now) {
  KeyMap &Map = Plan.Map;
  std::vector<TargetRef> Owners;
  for (const KeyRow &Row : Map.Rows)
    if (std::ranges::find(Owners, Row.Owner) == Owners.end())
      Owners.push_back(Row.Owner);
  bool Changed = false;
  for (const TargetRef &Owner : Owners) {
    bool Missing = this->ownerState(Owner, Nodes) == OwnerState::Missing;
    if (!Missing || !StoreUpToDate) {
      this->FirstMissingAt.erase(Owner);
      if (!Missing && Map.findLost(Owner)) {
        std::erase_if(Map.Lost, [&Owner](const LostTarget &Lost) {
          return Lost.Target == Owner;
        });
        Plan.Reason += "returned " + Owner.Instance + "; ";
        Changed = true;
      }
      continue;
    }
    Instant MissingSince =
        this->FirstMissingAt.try_emplace(Owner, Now).first->second;
    if (Map.findLost(Owner) || Now - MissingSince < this->Options.MissingGrace)
      continue;
    Map.Lost.push_back({Owner, ++Map.LastMark});
    Plan.Conditions.push_back({nodeEntryKey(Owner.Node), 0});
    Plan.Reason += "lost " + Owner.Instance + "; ";
    Changed = true;
  }
  std::erase_if(Map.Lost, [&](const LostTarget &Lost) {
    bool Unused = std::ranges::find(Owners, Lost.Target) == Owners.end();
    Changed |= Unused;
    return Unused;
  });
  return Changed;
}

bool KeyPlanner::planReplacements(KeyPlan &Plan,
                                  std::span<const PlannerNode> Nodes,
                                  Instant Now) {
  KeyMap &Map = Plan.Map;
  std::vector<const PlannerNode *> Ready = readyNodes(Nodes, this->Service);
  bool Changed = false;
  // One token for the whole plan, so that the rows of one new owner merge.
  const std::int64_t Fence = Map.LastFence + 1;
  TargetRef Adjacent;
  for (KeyRow &Row : Map.Rows) {
    const TargetRef Before = std::exchange(Adjacent, {});
    const LostTarget *Lost = Map.findLost(Row.Owner);
    auto FirstSeen =
        Lost ? this->MarkSeenAt.find(Lost->Mark) : this->MarkSeenAt.end();
    bool HoldsEnded = FirstSeen != this->MarkSeenAt.end() &&
                      Now - FirstSeen->second >= this->Options.LostTargetWait;
    if (!HoldsEnded && this->ownerState(Row.Owner, Nodes) != OwnerState::Ended)
      continue;
    // A target that restarted on the same VM keeps its keys.
    const PlannerNode *CurrentNode = findNode(Nodes, Row.Owner.Node);
    if (HoldsEnded && CurrentNode)
      continue;
    TargetRef NewOwner;
    if (CurrentNode && isReady(Nodes, this->Service, CurrentNode->Target))
      NewOwner = CurrentNode->Target;
    else if (Row.Next && isReady(Nodes, this->Service, Row.Next))
      NewOwner = Row.Next;
    else if (const PlannerNode *Chosen = chooseReplacement(Map, Ready, Before))
      NewOwner = Chosen->Target;
    if (!NewOwner)
      continue;
    // The node of the owner may withdraw its statement that the target has
    // ended, so the plan depends on its entry.
    EntryCondition Condition{nodeEntryKey(Row.Owner.Node),
                             CurrentNode ? CurrentNode->EntryRevision : 0};
    if (!HoldsEnded &&
        std::ranges::find(Plan.Conditions, Condition) == Plan.Conditions.end())
      Plan.Conditions.push_back(std::move(Condition));
    Plan.Reason += "replaced " + Row.Owner.Instance + "; ";
    Row = {.Keys = Row.Keys, .Owner = NewOwner, .Fence = Fence};
    Map.LastFence = Fence;
    Adjacent = NewOwner;
    Changed = true;
  }
  return Changed;
}

bool KeyPlanner::planDepartures(KeyPlan &Plan,
                                std::span<const PlannerNode> Nodes) {
  KeyMap &Map = Plan.Map;
  std::vector<const PlannerNode *> Ready = readyNodes(Nodes, this->Service);
  bool Changed = false;
  for (KeyRow &Row : Map.Rows) {
    if (Row.Next && !isReady(Nodes, this->Service, Row.Next)) {
      Row.Next = {};
      Plan.Reason += "move ended; ";
      Changed = true;
    }
    const PlannerNode *OwnerNode = findNode(Nodes, Row.Owner.Node);
    if (Row.Next || !OwnerNode || OwnerNode->Target != Row.Owner ||
        OwnerNode->Ready)
      continue;
    const PlannerNode *LeastLoadedNode = leastLoaded(Map, Ready);
    if (!LeastLoadedNode)
      continue;
    Row.Next = LeastLoadedNode->Target;
    Plan.Reason += "leaving " + Row.Owner.Instance + "; ";
    Changed = true;
  }
  return Changed;
}

bool KeyPlanner::planMerges(KeyPlan &Plan) {
  KeyMap &Map = Plan.Map;
  // Each change of an owner has a new token.
  if (std::exchange(this->MergesCheckedAt, Map.LastFence) == Map.LastFence)
    return false;
  std::map<TargetRef, std::size_t> RowCounts;
  for (const KeyRow &Row : Map.Rows)
    ++RowCounts[Row.Owner];
  const std::int64_t Fence = Map.LastFence + 1;
  std::vector<KeyRow> Merged;
  bool Changed = false;
  for (const KeyRow &Row : Map.Rows) {
    KeyRow *Last = Merged.empty() ? nullptr : &Merged.back();
    bool Adjacent = Last && Last->Keys.To + 1 == Row.Keys.From &&
                    Last->Owner == Row.Owner && !Last->Next && !Row.Next;
    if (!Adjacent || RowCounts.at(Row.Owner) <= MaxSeparateRows) {
      Merged.push_back(Row);
      continue;
    }
    // The owner has these keys already, so a handover has been used, and any
    // token above theirs is right.
    Last->Keys.To = Row.Keys.To;
    Last->Fence = Fence;
    Last->Handover.clear();
    Changed = true;
  }
  if (!Changed)
    return false;
  Plan.Reason += "merged rows; ";
  Map.Rows = std::move(Merged);
  Map.LastFence = Fence;
  // The plan may never be written.
  this->MergesCheckedAt = -1;
  return true;
}

void KeyPlanner::updateMoving(const KeyMap &Map, Instant Now) {
  for (const KeyRow &Row : Map.Rows)
    if (Row.Next)
      for (const TargetRef &Target : {Row.Owner, Row.Next})
        this->Moving.try_emplace(Target, Now, Now).first->second.LastSeenAt =
            Now;
  std::erase_if(this->Moving, [this, Now](const auto &Entry) {
    return Now - Entry.second.LastSeenAt >= this->Options.RebalanceInterval;
  });
}

// A move from a disconnected node only completes once that node is marked as
// lost. After MoveTimeout its targets count as free again.
std::vector<TargetRef> KeyPlanner::busyTargets(Instant Now) const {
  std::vector<TargetRef> Busy;
  for (const auto &[Target, Activity] : this->Moving)
    if (Now - Activity.Since < this->Options.MoveTimeout)
      Busy.push_back(Target);
  return Busy;
}

bool KeyPlanner::planKeysForNewTargets(KeyPlan &Plan,
                                       std::span<const PlannerNode> Nodes) {
  KeyMap &Map = Plan.Map;
  std::vector<const PlannerNode *> Ready = readyNodes(Nodes, this->Service);
  std::size_t MoveLimit = maxMoves(Ready.size());
  std::size_t Moves = 0;
  // Rows with a pending move are left as they are.
  auto FreeKeys = [](const KeyRow &Row) {
    return Row.Next ? 0 : Row.Keys.To - Row.Keys.From;
  };
  for (const PlannerNode *Node : Ready) {
    if (Moves == MoveLimit || countKeys(Map, Node->Target) != 0)
      continue;
    auto LongestRow = std::ranges::max_element(Map.Rows, {}, FreeKeys);
    if (LongestRow == Map.Rows.end() || FreeKeys(*LongestRow) == 0)
      break;
    KeyRange UpperHalf{LongestRow->Keys.From +
                           (LongestRow->Keys.To - LongestRow->Keys.From) / 2 +
                           1,
                       LongestRow->Keys.To};
    Map.splitRowsAt(UpperHalf);
    std::ranges::find(Map.Rows, UpperHalf, &KeyRow::Keys)->Next = Node->Target;
    Plan.Reason += "newcomer " + Node->Target.Instance + "; ";
    ++Moves;
  }
  return Moves > 0;
}

bool KeyPlanner::planRebalancing(KeyPlan &Plan,
                                 std::span<const PlannerNode> Nodes,
                                 Instant Now) {
  KeyMap &Map = Plan.Map;
  if (Now - this->RebalancedAt < this->Options.RebalanceInterval)
    return false;
  if (this->planKeysForNewTargets(Plan, Nodes)) {
    this->RebalancedAt = Now;
    return true;
  }
  std::vector<TargetLoad> Loads;
  for (const PlannerNode *Node : readyNodes(Nodes, this->Service)) {
    auto Found = this->Loads.find(Node->Target);
    if (Found == this->Loads.end() ||
        Now - Found->second.ReceivedAt > MaxLoadReportAge)
      continue;
    const routing::KeyLoadNotice &Notice = Found->second.Notice;
    Loads.push_back(
        {Node->Target, Notice.Rate, Notice.Capacity, Notice.Quantiles});
  }
  std::erase_if(this->KeyMovedAt, [Now](const auto &Entry) {
    return Now - Entry.second >= KeySettleTime;
  });
  std::vector<std::uint32_t> SettledKeys;
  std::ranges::copy(this->KeyMovedAt | std::views::keys,
                    std::back_inserter(SettledKeys));
  std::vector<KeyMove> Moves =
      planMoves(Map, Loads, this->busyTargets(Now), SettledKeys);
  for (const KeyMove &Move : Moves) {
    if (Move.Keys.From == Move.Keys.To)
      this->KeyMovedAt[Move.Keys.From] = Now;
    Map.splitRowsAt(Move.Keys);
    for (KeyRow &Row : Map.Rows)
      if (Row.Owner == Move.From && Row.Keys.overlaps(Move.Keys))
        Row.Next = Move.To;
    Plan.Reason +=
        "balance " + Move.From.Instance + " to " + Move.To.Instance + "; ";
  }
  if (Moves.empty())
    return false;
  this->RebalancedAt = Now;
  return true;
}

std::optional<KeyPlan> KeyPlanner::plan(const KeyMap *Map,
                                        std::span<const PlannerNode> Nodes,
                                        bool StoreUpToDate, Instant Now) {
  std::erase_if(this->Loads, [Now](const auto &Entry) {
    return Now - Entry.second.ReceivedAt > MaxLoadReportAge;
  });
  if (!Map)
    return StoreUpToDate ? this->planInitialOwners(Nodes, Now) : std::nullopt;
  // Only recorded marks count, since a planned one may never be written.
  std::erase_if(this->MarkSeenAt, [Map](const auto &Entry) {
    return std::ranges::find(Map->Lost, Entry.first, &LostTarget::Mark) ==
           Map->Lost.end();
  });
  for (const LostTarget &Lost : Map->Lost)
    this->MarkSeenAt.try_emplace(Lost.Mark, Now);
  this->updateMoving(*Map, Now);
  KeyPlan Plan;
  Plan.Map = *Map;
  bool Changed = this->planLostMarks(Plan, Nodes, StoreUpToDate, Now);
  Changed |= this->planReplacements(Plan, Nodes, Now);
  Changed |= this->planDepartures(Plan, Nodes);
  Changed |= !Changed && this->planRebalancing(Plan, Nodes, Now);
  if (Changed)
    Plan.Map.mergeAdjacentRows();
  Changed |= this->planMerges(Plan);
  if (!Changed)
    return std::nullopt;
  return Plan;
}

} // namespace orioledoor::keyspace
