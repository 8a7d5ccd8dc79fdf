// Acquires and renews the store lease of the coordinator. Part of Coordinator.
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
  // Name is written to the key, to inform operators.
  explicit CoordinatorLease(std::string Name) : Name(std::move(Name)) {}

  void setEligible(bool Value) { this->Eligible = Value; }

  // Whether the lease is held at Now according to the replies received so far.
  bool isHeld(Instant Now) const {
    return this->Phase == LeasePhase::Held && Now < this->HeldUntil;
  }

  // Returns the next store request, with the given Id, if one is due.
  std::optional<StoreRequest> tick(Instant Now, std::uint64_t Id);

  // Processes Reply and returns true if it belongs to a request of this object;
  // otherwise returns false.
  bool handle(Instant Now, const StoreReply &Reply);

  // Must be called when the coordinator's key was deleted, so the lease is
  // available.
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
  // Id of the pending request; 0 if there is none.
  std::uint64_t PendingRequest = 0;
  // Time at which the pending request was sent.
  Instant RequestSentAt;
  // Invariant: not later than the end of the lease at the store.
  Instant HeldUntil;
  Instant NextStep;
};

} // namespace orioledoor::ownership::internal

#endif // ORIOLEDOOR_OWNERSHIP_INTERNAL_COORDINATOR_LEASE_H
