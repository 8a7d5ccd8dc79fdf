// The state of a Coordinator and the steps of its cycle: load, plan, check,
// gather, write. Shared by coordinator.cc, which takes inputs, and
// coordinator_cycle.cc, which carries the steps out.
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
#include "orioledoor/ownership/internal/guardian_renewal.h"
#include "orioledoor/ownership/internal/lease_keeper.h"
#include "orioledoor/ownership/internal/spend_allocator.h"
#include "orioledoor/ownership/load_model.h"
#include "orioledoor/ownership/local_node.h"

namespace orioledoor::ownership {
namespace internal {

// Passive: without the lease, or about to load.
enum class Phase { Passive, Loading, Ready, Checking, Gathering, Writing };

} // namespace internal

struct Coordinator::State {
  explicit State(const LocalNode &Self)
      : Local(Self), Lease(Self.Name),
        NextRequest(CoordinatorRequestBit | (Self.Seed & 0xffff) << 40) {}

  std::uint64_t nextId() { return ++this->NextRequest; }

  void call(StoreRequestBody Body, std::uint64_t &Open, Instant Now,
            Effects &Output) {
    Open = this->nextId();
    this->OpenedAt = Now;
    Output.push_back(
        CallStore{StoreRequest{.Id = Open, .Body = std::move(Body)}});
  }

  void noticeNews(Instant Now, const FactSet &Known);
  void load(Instant Now, Effects &Output);
  void plan(Instant Now, const FactSet &Known, Effects &Output);
  // All recorded members may be lost, so that nobody can grant or depose.
  bool mayStartAlone() const;
  // The join requests that the next version may grant.
  std::vector<JoinRequest> admissible(Instant Now) const;
  void finishCheck(Instant Now, const StoreReply &Reply, Effects &Output);
  void startGathering(Instant Now, Effects &Output);
  void gather(Instant Now, Effects &Output);
  void withdraw(Effects &Output);
  bool isGathered() const;
  void startWrite(Instant Now, std::int64_t WallMicros, Effects &Output);
  void finishWrite(Instant Now, const StoreReply &Reply, Effects &Output);
  void adopt(const Assignment &Newer, std::int64_t ModRevision);
  void addJoin(std::string_view Value);
  std::set<MemberId> declaredLost(Instant Now) const;
  std::set<MemberId> unresponsive(Instant Now);
  std::string addressOf(MemberId Id) const;

  LocalNode Local;
  MemberId Self;
  bool Permitted = false;
  internal::LeaseKeeper Lease;
  internal::SpendAllocator Spend;
  internal::GuardianRenewal Renewals;
  LoadModel Loads;
  std::uint64_t NextRequest;

  internal::Phase Current = internal::Phase::Passive;
  Instant OpenedAt;
  Instant NextPlan;
  Instant NextWrite;
  // News arrived since the last tick.
  bool News = true;
  Instant BusyUntil;
  std::uint64_t SeenFacts = 0;

  // The store's document as last read or written; DocRevision is the store
  // revision of its last change, 0 while the key is absent.
  Assignment Doc;
  std::int64_t DocRevision = 0;
  std::uint64_t OpenAssignment = 0;
  std::uint64_t OpenJoins = 0;
  std::uint64_t OpenCheck = 0;
  std::uint64_t OpenWrite = 0;

  std::shared_ptr<const Catalogue> Entries;
  // When Entries came into force here; set by the next tick.
  std::optional<Instant> EntriesSince;

  // By node name; a newer request of a node replaces its older one.
  std::map<std::string, JoinRequest> Joins;
  std::map<SliceRef, YieldAck> Yielded;
  std::set<MemberId> Leaving;
  std::map<MemberId, Instant> UnresponsiveUntil;
  std::map<ServiceId, Instant> LastAdmission;
  std::map<SliceRef, Instant> LastMove;

  AssignmentPlan Pending;
  // Of the present gathering or write; 0 if none.
  std::uint64_t Attempt = 0;
  std::set<MemberId> Promised;
  std::set<ConsentNeeded> Consented;
  Instant GatherEnd;
  Instant NextRepeat;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_INTERNAL_COORDINATOR_STATE_H
