// State machine: requests a lease, writes the key with it and keeps it alive.
#include "orioledoor/ownership/internal/coordinator_lease.h"

#include "orioledoor/store/keys.h"

namespace orioledoor::ownership::internal {
namespace {

constexpr std::chrono::seconds LeaseTimeToLive{3};
constexpr Duration KeepAliveInterval = std::chrono::seconds(1);
// Delay after another node was found to hold the key. Ends early if the watch
// reports that the key was deleted.
constexpr Duration HeldElsewhereDelay = std::chrono::seconds(5);
constexpr Duration ErrorDelay = std::chrono::seconds(1);

} // namespace

StoreRequest CoordinatorLease::makeRequest(Instant Now, std::uint64_t Id,
                                           StoreRequestBody Body) {
  this->PendingRequest = Id;
  this->RequestSentAt = Now;
  return StoreRequest{.Id = Id, .Body = std::move(Body)};
}

void CoordinatorLease::restart(Instant Now, Duration Delay) {
  this->Phase = LeasePhase::Idle;
  this->Lease = 0;
  this->NextStep = Now + Delay;
}

std::optional<StoreRequest> CoordinatorLease::tick(Instant Now,
                                                   std::uint64_t Id) {
  if (this->Phase == LeasePhase::Held && Now >= this->HeldUntil)
    this->restart(Now, Duration(0));
  if (this->PendingRequest != 0 || Now < this->NextStep)
    return std::nullopt;
  switch (this->Phase) {
  case LeasePhase::Idle:
    if (!this->Eligible)
      return std::nullopt;
    this->Phase = LeasePhase::Granting;
    return this->makeRequest(Now, Id, StoreLeaseGrant{LeaseTimeToLive});
  case LeasePhase::Claiming:
    return this->makeRequest(
        Now, Id,
        StoreTxn{.Compares = {{keys::Coordinator, 0}},
                 .Puts = {{keys::Coordinator, this->Name, this->Lease}},
                 .Deletes = {}});
  case LeasePhase::Held:
    if (!this->Eligible) {
      this->Phase = LeasePhase::Revoking;
      return this->makeRequest(Now, Id, StoreLeaseRevoke{this->Lease});
    }
    return this->makeRequest(Now, Id, StoreLeaseKeepAlive{this->Lease});
  case LeasePhase::Revoking:
    return this->makeRequest(Now, Id, StoreLeaseRevoke{this->Lease});
  case LeasePhase::Granting:
    return std::nullopt;
  }
  return std::nullopt;
}

bool CoordinatorLease::handle(Instant Now, const StoreReply &Reply) {
  if (this->PendingRequest == 0 || Reply.Id != this->PendingRequest)
    return false;
  this->PendingRequest = 0;
  switch (this->Phase) {
  case LeasePhase::Granting:
    if (!Reply.Status.ok()) {
      this->restart(Now, ErrorDelay);
      break;
    }
    this->Lease = Reply.Lease;
    this->HeldUntil = this->RequestSentAt + LeaseTimeToLive;
    this->Phase = LeasePhase::Claiming;
    break;
  case LeasePhase::Claiming:
    if (!Reply.Status.ok()) {
      // The transaction may have been applied; its lease expires by itself.
      this->restart(Now, LeaseTimeToLive);
    } else if (Reply.Succeeded) {
      this->Phase = LeasePhase::Held;
      this->NextStep = Now + KeepAliveInterval;
    } else {
      this->Phase = LeasePhase::Revoking;
      this->NextStep = Now;
    }
    break;
  case LeasePhase::Held:
    this->NextStep = Now + KeepAliveInterval;
    if (!Reply.Status.ok())
      break;
    if (Reply.TimeToLive.count() <= 0)
      this->restart(Now, Duration(0));
    else
      this->HeldUntil = this->RequestSentAt + LeaseTimeToLive;
    break;
  case LeasePhase::Revoking:
    this->restart(Now, HeldElsewhereDelay);
    break;
  case LeasePhase::Idle:
    break;
  }
  return true;
}

} // namespace orioledoor::ownership::internal
