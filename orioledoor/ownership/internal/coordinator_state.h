// The state of a Coordinator and the steps of its cycle: load, plan, check,
// request responses, write. Shared by coordinator.cc, which handles inputs, and
// coordinator_cycle.cc, which implements the steps.
#ifndef ORIOLEDOOR_OWNERSHIP_INTERNAL_COORDINATOR_STATE_H
#define ORIOLEDOOR_OWNERSHIP_INTERNAL_COORDINATOR_STATE_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/ownership/assignment_planner.h"
#include "orioledoor/ownership/coordinator.h"
#include "orioledoor/ownership/fact_set.h"
#include "orioledoor/ownership/internal/coordinator_lease.h"
#include "orioledoor/ownership/internal/guardian_renewal.h"
#include "orioledoor/ownership/internal/spend_allocator.h"
#include "orioledoor/ownership/load_model.h"
#include "orioledoor/ownership/local_node.h"

namespace orioledoor::ownership {
namespace internal {

// Passive: the lease is not held, or the assignment is about to be loaded.
enum class CoordinatorPhase {
  Passive,
  Loading,
  Ready,
  Checking,
  AwaitingResponses,
  Writing
};

} // namespace internal

struct Coordinator::State {
  explicit State(const LocalNode &Self)
      : Local(Self), Lease(Self.Name),
        LastRequestId(CoordinatorRequestBit | (Self.Seed & 0xffff) << 40) {}

  std::uint64_t nextRequestId() { return ++this->LastRequestId; }

  void sendStoreRequest(StoreRequestBody Body, std::uint64_t &RequestId,
                        Instant Now, Effects &Output) {
    RequestId = this->nextRequestId();
    this->RequestSentAt = Now;
    Output.push_back(
        CallStore{StoreRequest{.Id = RequestId, .Body = std::move(Body)}});
  }

  void detectNewInput(Instant Now, const FactSet &KnownFacts);
  void loadFromStore(Instant Now, Effects &Output);
  void plan(Instant Now, const FactSet &KnownFacts, Effects &Output);
  // Whether all recorded members may be lost, so that no member can grant
  // permissions or depose another.
  bool mayAdmitSingleMember() const;
  // Returns the join requests that the next version may fulfill.
  std::vector<JoinRequest> admissibleJoins(Instant Now) const;
  void finishCheck(Instant Now, const StoreReply &Reply, Effects &Output);
  void startRequestingResponses(Instant Now, Effects &Output);
  void requestResponses(Instant Now, Effects &Output);
  void withdrawPromises(Effects &Output);
  bool hasAllResponses() const;
  void startWrite(Instant Now, std::int64_t WallMicros, Effects &Output);
  void finishWrite(Instant Now, const StoreReply &Reply, Effects &Output);
  void setStoredAssignment(const Assignment &Newer, std::int64_t ModRevision);
  void addJoin(std::string_view Value);
  std::set<MemberId> membersDeclaredLost(Instant Now) const;
  std::set<MemberId> unresponsiveMembers(Instant Now);
  std::string addressOf(MemberId Id) const;

  LocalNode Local;
  MemberId Self;
  bool Permitted = false;
  internal::CoordinatorLease Lease;
  internal::SpendAllocator SpendAllocation;
  internal::GuardianRenewal GuardianRenewals;
  LoadModel Loads;
  std::uint64_t LastRequestId;

  internal::CoordinatorPhase CurrentPhase = internal::CoordinatorPhase::Passive;
  Instant RequestSentAt;
  Instant NextPlan;
  Instant NextWrite;
  // Whether new input arrived since the last tick.
  bool HasNewInput = true;
  Instant FrequentPlanningUntil;
  std::uint64_t SeenFactCount = 0;

  // The assignment as last read from or written to the store. StoredRevision is
  // the store revision of its last change, 0 while the key is absent.
  Assignment StoredAssignment;
  std::int64_t StoredRevision = 0;
  std::uint64_t AssignmentReadId = 0;
  std::uint64_t JoinsReadId = 0;
  std::uint64_t CheckReadId = 0;
  std::uint64_t WriteRequestId = 0;

  std::shared_ptr<const Catalogue> ActiveCatalogue;
  // Time at which ActiveCatalogue became active on this node; set by the next
  // tick.
  std::optional<Instant> CatalogueActiveSince;

  // By node name; a newer request of a node replaces the older one.
  std::map<std::string, JoinRequest> PendingJoins;
  std::map<SliceRef, YieldAck> CompletedHandovers;
  std::set<MemberId> LeavingMembers;
  std::map<MemberId, Instant> UnresponsiveUntil;
  std::map<ServiceId, Instant> LastAdmission;
  std::map<SliceRef, Instant> LastMove;

  AssignmentPlan PendingPlan;
  // Id of the current round of promise requests or the current write; 0 if
  // none.
  std::uint64_t Attempt = 0;
  std::set<MemberId> ReceivedPromises;
  std::set<RequiredConsent> ReceivedConsents;
  Instant ResponseDeadline;
  Instant NextResend;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_INTERNAL_COORDINATOR_STATE_H
