// The ownership protocol of one node: a deterministic reducer composed of
// joining, permissions, the guardian role, slice ownership, gossip,
// distribution of versions and the coordinator.
//
//   OwnershipReducer Reducer(Self);
//   for (Effect &E : Reducer.handle(Tick{WallMicros}, Now))
//     execute(E);
//   if (auto Gate = Reducer.gate(Slice, Now))
//     serve(*Gate);
#ifndef ORIOLEDOOR_OWNERSHIP_OWNERSHIP_REDUCER_H
#define ORIOLEDOOR_OWNERSHIP_OWNERSHIP_REDUCER_H

#include <cstdint>
#include <optional>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/coordinator.h"
#include "orioledoor/ownership/distribution.h"
#include "orioledoor/ownership/effect.h"
#include "orioledoor/ownership/event.h"
#include "orioledoor/ownership/gossip.h"
#include "orioledoor/ownership/guardian_role.h"
#include "orioledoor/ownership/joining.h"
#include "orioledoor/ownership/load_reporter.h"
#include "orioledoor/ownership/local_node.h"
#include "orioledoor/ownership/node_state.h"
#include "orioledoor/ownership/ownership_status.h"
#include "orioledoor/ownership/permission_holder.h"
#include "orioledoor/ownership/routing_view.h"
#include "orioledoor/ownership/slice_ownership.h"

namespace orioledoor::ownership {

// Satisfies RoutingView. Not thread-safe. Deterministic: the same events at the
// same times produce the same effects.
class OwnershipReducer {
public:
  explicit OwnershipReducer(const LocalNode &Self);
  // The components hold references to each other.
  OwnershipReducer(const OwnershipReducer &) = delete;
  OwnershipReducer &operator=(const OwnershipReducer &) = delete;

  // Requires that Now never decreases. A tick takes constant time unless the
  // assignment or the facts changed; then it is linear in the number of slices.
  Effects handle(const Event &Input, Instant Now);

  // RoutingView. All calls take constant time except membersOf, which is linear
  // in the members of the service.
  std::optional<Route> route(SliceRef Slice) const;
  std::optional<Gate> gate(SliceRef Slice, Instant Now) const;
  std::vector<Route> membersOf(ServiceId Service) const;
  double ownedShare(ServiceId Service) const;
  Instant permissionEnd() const;

  // 0 while the node is not a member.
  MemberId memberId() const { return this->Node.Id; }
  Versions heldVersions() const { return this->Node.versions(); }

  // Linear in the number of known facts.
  OwnershipStatus status(Instant Now) const;

private:
  enum class Stage {
    // Is a member, or joins as one when a target is ready.
    Active,
    // Slices and guardian assignments are being moved to other members.
    Leaving,
    // The time limit for leaving has passed; waits for the permission to
    // expire.
    PermissionExpiring,
    // Announced that it left; does not join until a target is announced.
    Stopped
  };

  void handleEvent(Instant Now, const Tick &Input, Effects &Output);
  void handleEvent(Instant Now, const TargetReady &Input, Effects &Output);
  void handleEvent(Instant Now, const TargetLeaving &Input, Effects &Output);
  void handleEvent(Instant Now, const TargetLost &Input, Effects &Output);
  void handleEvent(Instant Now, const StopRequested &Input, Effects &Output);
  void handleEvent(Instant Now, const PeerMessage &Input, Effects &Output);
  void handleEvent(Instant Now, const StoreAnswered &Input, Effects &Output);
  void handleEvent(Instant Now, const StoreWatched &Input, Effects &Output);
  void handleEvent(Instant Now, const SliceDrained &Input, Effects &Output);
  void handleEvent(Instant Now, const LoadSampled &Input, Effects &Output);
  void handleEvent(Instant Now, const SpendWanted &Input, Effects &Output);

  void handleMessage(Instant Now, const std::string &From, const Message &Body,
                     Effects &Output);
  // Delivers messages that are addressed to this node without using the
  // network.
  void deliverToSelf(Instant Now, Effects &Output);

  // Updates all components after an event.
  void updateParts(Instant Now, Effects &Output);
  void applyUpdate(Instant Now, const DistributionUpdate &Update,
                   Effects &Output);
  void enterMembership(Instant Now, MemberId Id, Effects &Output);
  // Stops serving and granting, announces that this member left, and joins
  // again if Rejoin.
  void endMembership(Instant Now, bool Rejoin, Effects &Output);
  void startLeaving(Instant Now, Effects &Output);
  void advanceLeaving(Instant Now, Effects &Output);
  void trackPermission(Instant Now, Effects &Output);
  void updateRoles(Instant Now, Effects &Output);
  // Whether this node is the live member with the lowest id in its failure
  // domain, among those that are not leaving. That member watches the store.
  bool isStoreWatcher() const;

  NodeState Node;
  Distribution Distributor;
  Joining Join;
  PermissionHolder Permission;
  GuardianRole Guardianship;
  SliceOwnership Slices;
  Gossip FactGossip;
  LoadReporter Reporter;
  Coordinator OwnCoordinator;

  Stage CurrentStage = Stage::Active;
  // Whether the process exits once the node has left.
  bool ExitRequested = false;
  // The time to exit, set when the node has left. Until then the announcement
  // is repeated.
  std::optional<Instant> ExitAt;
  Instant LeavingStartedAt;
  // Time at which this node learned that the assignment lists it as leaving.
  std::optional<Instant> LeavingRecordedAt;
  std::optional<TargetReady> Target;
  Instant LastPermittedAt;
  bool WasPermitted = false;
  bool IsStoreWatcher = false;
  // Assignment version and facts revision of the last refresh of the slices.
  std::uint64_t RefreshedVersion = 0;
  std::uint64_t RefreshedFacts = 0;
};

static_assert(RoutingView<OwnershipReducer>);

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_OWNERSHIP_REDUCER_H
