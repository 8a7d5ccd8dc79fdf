// Plans changes to the key map of one service. Every node can plan; the live
// node with the lowest address writes the plan to the store.
//
//   std::optional<KeyPlan> Plan = Planner.plan(Map, Nodes, UpToDate, Now);
//   if (Plan) ... // write Plan->Map if the store's map is still Map and
//                 // Plan->Conditions hold
//
// Correctness does not depend on which node plans. A plan replaces an owner
// only if its process or its last hold has certainly ended. Keys of a live
// owner are moved by naming the next owner; only the node beside the current
// owner completes such a move.
#ifndef ORIOLEDOOR_KEYSPACE_KEY_PLANNER_H
#define ORIOLEDOOR_KEYSPACE_KEY_PLANNER_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/keyspace/key_map.h"
#include "orioledoor/routing/message.h"

namespace orioledoor::keyspace {

// The entry of a live node, as the planner sees it.
struct PlannerNode {
  std::string Node{};
  // Store revision of the node's entry.
  std::int64_t EntryRevision = 0;
  // Empty while the node knows no target.
  TargetRef Target{};
  std::string Service{};
  bool Ready = false;
  std::uint32_t Slots = 1;
  // A current or earlier target of this VM that no longer holds any keys.
  TargetRef Ended{};
};

struct KeyPlannerOptions {
  // Time from first seeing a lost mark until the last hold of the lost target
  // has ended: the authority lifetime of nodes plus a margin for their timers.
  Duration LostTargetWait = std::chrono::milliseconds(8500);
  // An entry that is missing for this long counts as removed. After an outage
  // of the store, nodes need up to two seconds to write their entries again.
  Duration MissingGrace = std::chrono::milliseconds(2000);
  // The initial owners are planned after no new target has appeared for this
  // long.
  Duration SettleTime = std::chrono::milliseconds(1500);
  // Minimum interval between two rebalancing plans, and between the end of a
  // move and the next one of the same target: the demand is measured over a
  // second.
  Duration RebalanceInterval = std::chrono::milliseconds(800);
  // A pending move that takes longer than two reports of the owner and one of
  // the next owner no longer keeps its targets from taking part in others.
  Duration MoveTimeout = std::chrono::milliseconds(2600);
};

// State of a node's entry in the store on which a plan depends.
struct EntryCondition {
  std::string Key{};
  // Store revision; 0 requires that the entry is absent.
  std::int64_t Revision = 0;

  friend bool operator==(const EntryCondition &,
                         const EntryCondition &) = default;
};

struct KeyPlan {
  KeyMap Map{};
  std::vector<EntryCondition> Conditions{};
  // Human-readable reason, for the audit trail.
  std::string Reason{};
};

// Plans for one service. Not thread-safe. Uses no clock, socket or random
// source.
class KeyPlanner {
public:
  KeyPlanner(std::string Service, KeyPlannerOptions Options);

  // Stores the demand for the keys of one target, as measured by its node.
  void recordLoad(const routing::KeyLoadNotice &Notice, Instant Now);

  // Returns the next change of the key map, or nothing if none is due. Map is
  // null if no key map is recorded. StoreUpToDate states whether Nodes reflects
  // the current content of the store; if not, no node counts as missing.
  std::optional<KeyPlan> plan(const KeyMap *Map,
                              std::span<const PlannerNode> Nodes,
                              bool StoreUpToDate, Instant Now);

  // Returns the store key of the entry of the node with the peer address Node.
  static std::string nodeEntryKey(std::string_view Node);

private:
  struct LoadReport {
    routing::KeyLoadNotice Notice;
    Instant ReceivedAt;
  };
  // Pending moves that a target takes part in.
  struct MoveActivity {
    Instant Since;
    Instant LastSeenAt;
  };
  enum class OwnerState { Alive, Ended, Missing };

  // Records which targets take part in the pending moves of Map.
  void updateMoving(const KeyMap &Map, Instant Now);
  // Targets whose demand is about to change because of a move.
  std::vector<TargetRef> busyTargets(Instant Now) const;
  std::optional<KeyPlan> planInitialOwners(std::span<const PlannerNode> Nodes,
                                           Instant Now);
  OwnerState ownerState(const TargetRef &Owner,
                        std::span<const PlannerNode> Nodes) const;
  // Marks missing owners as lost and removes the marks of owners that returned.
  bool planLostMarks(KeyPlan &Plan, std::span<const PlannerNode> Nodes,
                     bool StoreUpToDate, Instant Now);
  // Assigns the rows of ended and lost owners to other targets.
  bool planReplacements(KeyPlan &Plan, std::span<const PlannerNode> Nodes,
                        Instant Now);
  // Moves the keys of leaving owners to other targets and cancels moves to
  // targets that are gone.
  bool planDepartures(KeyPlan &Plan, std::span<const PlannerNode> Nodes);
  // Merges adjacent rows of targets that have too many for one answer.
  bool planMerges(KeyPlan &Plan);
  // Moves half of a long row to each target without keys.
  bool planKeysForNewTargets(KeyPlan &Plan, std::span<const PlannerNode> Nodes);
  // Moves keys from overloaded targets to targets with spare capacity.
  bool planRebalancing(KeyPlan &Plan, std::span<const PlannerNode> Nodes,
                       Instant Now);

  std::string Service;
  KeyPlannerOptions Options;
  std::map<TargetRef, LoadReport> Loads;
  // Time at which a missing owner was first found missing.
  std::map<TargetRef, Instant> FirstMissingAt;
  // Time at which a lost mark was first seen, by its number.
  std::map<std::int64_t, Instant> MarkSeenAt;
  std::map<TargetRef, MoveActivity> Moving;
  std::vector<TargetRef> LastReadyTargets;
  Instant ReadyChangedAt;
  Instant RebalancedAt;
  // When each single key was last moved, for the time in which it is not moved
  // again.
  std::map<std::uint32_t, Instant> KeyMovedAt;
  // Last token of the map whose rows were found to need no merges; -1 if there
  // is none.
  std::int64_t MergesCheckedAt = -1;
};

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_KEY_PLANNER_H
