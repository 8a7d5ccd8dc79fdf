// Wins and keeps the store lease of the coordinator. Part of Coordinator.
#ifndef ORIOLEDOOR_OWNERSHIP_INTERNAL_COORDINATOR_LEASE_H
#define ORIOLEDOOR_OWNERSHIP_INTERNAL_COORDINATOR_LEASE_H

#include <cstdint>
#include <optional>
#include <string>

#include "orioledoor/base/instant.h"
#include "orioledoor/store/store_types.h"

namespace orioledoor::ownership::internal {

// Not thread-safe. Deterministic.
class CoordinatorLease {
public:
  // Name is written to the key, for operators.
  explicit CoordinatorLease(std::string Name) : Name(std::move(Name)) {}

  void setEligible(bool Value) { this->Eligible = Value; }

  // The lease is held at Now as far as the replies so far tell.
  bool isHeld(Instant Now) const {
    return this->Phase == LeasePhase::Held && Now < this->HeldUntil;
  }

  // The next request, if one is due; its Id is set by the caller.
  std::optional<StoreRequest> tick(Instant Now, std::uint64_t Id);

  // Whether Reply answers a request of this object; if so, uses it.
  bool handle(Instant Now, const StoreReply &Reply);

  // The coordinator's key was deleted: the lease is free.
  void onReleased(Instant Now) { this->NextStep = Now; }

private:
  enum class LeasePhase { Idle, Granting, Claiming, Held, Revoking };

  StoreRequest makeRequest(Instant Now, std::uint64_t Id,
                           StoreRequestBody Body);
  void restart(Instant Now, Duration Delay);

  std::string Name;
  bool Eligible = false;
  LeasePhase Phase = LeasePhase::Idle;
  std::int64_t Lease = 0;
  // Id of the request without a reply; 0 if none.
  std::uint64_t PendingRequest = 0;
  // When the open request was made.
  Instant RequestSentAt;
  // Invariant: not later than the store's own end of the lease.
  Instant HeldUntil;
  Instant NextStep;
};

} // namespace orioledoor::ownership::internal

#endif // ORIOLEDOOR_OWNERSHIP_INTERNAL_COORDINATOR_LEASE_H
