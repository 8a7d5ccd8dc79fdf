// Plans changes to the key map of one service. Every node can plan; the one
// with the lowest address among the live nodes writes.
//
//   std::optional<KeyPlan> Plan = Planner.plan(Map, Nodes, Now);
//   if (Plan) ... // write Plan->Map if the store's map is still Map and
//                 // Plan->Conditions hold
//
// Safety does not rest on who plans: a plan replaces an owner only if its life
// has certainly ended or its last hold has, and moves keys of a living owner
// by naming the next one, which only the node beside the owner completes.
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

// The entry of a live node as the planner sees it.
struct PlannedNode {
  std::string Node{};
  // Store revision of its entry.
  std::int64_t EntryRevision = 0;
  // Empty while the node knows of no target.
  TargetRef Target{};
  std::string Service{};
  bool Ready = false;
  std::uint32_t Slots = 1;
  // A target of this VM that holds nothing any more.
  TargetRef Ended{};
};

struct KeyPlannerOptions {
  // From the first sight of a mark until the lost target's last hold has
  // ended: the authority time of nodes, and a margin for their timers.
  Duration LostWait = std::chrono::milliseconds(8500);
  // An entry that is missing for this long is taken as gone; after an outage of
  // the store nodes need up to two seconds to write theirs again.
  Duration MissingGrace = std::chrono::milliseconds(2000);
  // The first owners are planned once no new target came for this long.
  Duration SettleTime = std::chrono::milliseconds(1500);
  // Pause between two moves for balance: the demand is measured over a second.
  Duration RestTime = std::chrono::milliseconds(800);
  // A planned move that takes longer than this, two reports of the owner and
  // one of the next one, no longer holds others back.
  Duration StuckTime = std::chrono::milliseconds(2600);
};

// A node's entry that a plan rests on.
struct EntryCondition {
  std::string Key{};
  // Store revision; 0: the entry is absent.
  std::int64_t Revision = 0;

  friend bool operator==(const EntryCondition &,
                         const EntryCondition &) = default;
};

struct KeyPlan {
  KeyMap Map{};
  std::vector<EntryCondition> Conditions{};
  // For the audit trail.
  std::string Reason{};
};

// One a service. Not thread-safe; no clock, socket or random source.
class KeyPlanner {
public:
  KeyPlanner(std::string Service, KeyPlannerOptions Options);

  // The demand for one target's keys, as its node measured it.
  void noteLoad(const routing::KeyLoadNotice &Notice, Instant Now);

  // Map is null if nothing is recorded. StoreFresh: Nodes is up to date with
  // the store; without it no node counts as missing.
  std::optional<KeyPlan> plan(const KeyMap *Map,
                              std::span<const PlannedNode> Nodes,
                              bool StoreFresh, Instant Now);

  // Store key of a node's entry, by its peer address.
  static std::string entryKeyOf(std::string_view Node);

private:
  struct LoadReport {
    routing::KeyLoadNotice Notice;
    Instant At;
  };
  enum class OwnerState { Alive, Ended, Missing };

  std::optional<KeyPlan> planFirst(std::span<const PlannedNode> Nodes,
                                   Instant Now);
  OwnerState stateOf(const TargetRef &Owner,
                     std::span<const PlannedNode> Nodes) const;
  // Marks missing owners as lost and takes marks of returned ones back.
  bool planMarks(KeyPlan &Plan, std::span<const PlannedNode> Nodes,
                 bool StoreFresh, Instant Now);
  // Gives the rows of ended and lost owners to others.
  bool planReplacements(KeyPlan &Plan, std::span<const PlannedNode> Nodes,
                        Instant Now);
  // Empties leaving owners and takes back moves to targets that are gone.
  bool planDepartures(KeyPlan &Plan, std::span<const PlannedNode> Nodes);
  // Gives half of the longest row to a target without keys.
  bool planNewcomer(KeyPlan &Plan, std::span<const PlannedNode> Nodes);
  bool planBalance(KeyPlan &Plan, std::span<const PlannedNode> Nodes,
                   Instant Now);

  std::string Service;
  KeyPlannerOptions Options;
  std::map<TargetRef, LoadReport> Loads;
  // When a missing owner was first missed.
  std::map<TargetRef, Instant> MissedAt;
  // When a mark was first seen, by its number.
  std::map<std::int64_t, Instant> MarkSeenAt;
  std::vector<TargetRef> LastReady;
  Instant ReadyChangedAt;
  Instant BalancedAt;
};

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_KEY_PLANNER_H
