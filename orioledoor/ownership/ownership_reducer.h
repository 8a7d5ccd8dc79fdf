// The member side of ownership: a deterministic reducer that composes joining,
// permissions, guard duty, slices, gossip, distribution and the coordinator.
//
//   OwnershipReducer Reducer(Self);
//   for (Effect &E : Reducer.handle(Tick{WallMicros}, Now)) carryOut(E);
//   if (auto Gate = Reducer.gate(Slice, Now)) serve(*Gate);
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

// Satisfies RoutingView. Not thread-safe. The same events at the same times
// give the same effects.
class OwnershipReducer {
public:
  explicit OwnershipReducer(const LocalNode &Self);
  // The parts refer to each other.
  OwnershipReducer(const OwnershipReducer &) = delete;
  OwnershipReducer &operator=(const OwnershipReducer &) = delete;

  // Now never falls. A tick takes constant time unless the assignment or the
  // facts changed; then it is linear in the number of slices.
  Effects handle(const Event &Input, Instant Now);

  // RoutingView. All take constant time but membersOf.
  std::optional<Route> route(SliceRef Slice) const;
  std::optional<Gate> gate(SliceRef Slice, Instant Now) const;
  std::vector<Route> membersOf(ServiceId Service) const;
  double ownedShare(ServiceId Service) const;
  Instant permissionEnd() const;

  // 0 while the node is not a member.
  MemberId memberId() const { return this->Node.Id; }
  Versions heldVersions() const { return this->Node.versions(); }

  // Linear in the facts known.
  OwnershipStatus status(Instant Now) const;

private:
  enum class Stage {
    // A member, or wants to be one if a target is ready.
    Active,
    // Slices and duties are being moved away.
    Leaving,
    // The time to leave is over; waits for the permission to end.
    PermissionExpiring,
    // Said Left and stays out until a target is announced.
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
  // Sends messages addressed to this node itself back into it.
  void deliverToSelf(Instant Now, Effects &Output);

  // Brings all parts up to date after an event.
  void updateParts(Instant Now, Effects &Output);
  void applyUpdate(Instant Now, const DistributionUpdate &Update,
                   Effects &Output);
  void enterMembership(Instant Now, MemberId Id, Effects &Output);
  // Stops serving and granting, says Left, and joins again if Rejoin.
  void endMembership(Instant Now, bool Rejoin, Effects &Output);
  void startLeaving(Instant Now, Effects &Output);
  void advanceLeaving(Instant Now, Effects &Output);
  void trackPermission(Instant Now, Effects &Output);
  void updateRoles(Instant Now, Effects &Output);
  // The lowest live member of this failure domain that is not leaving.
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
  // The process is to exit once the node left.
  bool ExitRequested = false;
  // Set once the node left; the time until then repeats Left.
  std::optional<Instant> ExitAt;
  Instant LeavingStartedAt;
  // Since when this node knows that the assignment lists it as leaving.
  std::optional<Instant> LeavingRecordedAt;
  std::optional<TargetReady> Target;
  Instant LastPermittedAt;
  bool WasPermitted = false;
  bool IsStoreWatcher = false;
  // What the slices were last refreshed for.
  std::uint64_t RefreshedVersion = 0;
  std::uint64_t RefreshedFacts = 0;
};

static_assert(RoutingView<OwnershipReducer>);

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_OWNERSHIP_REDUCER_H
