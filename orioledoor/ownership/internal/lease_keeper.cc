// State machine: grant a lease, claim the key with it, keep it alive.
#include "orioledoor/ownership/internal/lease_keeper.h"

#include "orioledoor/store/keys.h"

namespace orioledoor::ownership::internal {
namespace {

constexpr std::chrono::seconds LeaseTimeToLive{3};
constexpr Duration KeepAliveInterval = std::chrono::seconds(1);
// Pause after somebody else was found to hold the key. A deletion seen by the
// watch ends it early.
constexpr Duration HeldElsewherePause = std::chrono::seconds(5);
constexpr Duration ErrorPause = std::chrono::seconds(1);

} // namespace

StoreRequest LeaseKeeper::open(Instant Now, std::uint64_t Id,
                               StoreRequestBody Body) {
  this->OpenRequest = Id;
  this->OpenedAt = Now;
  return StoreRequest{.Id = Id, .Body = std::move(Body)};
}

void LeaseKeeper::giveUp(Instant Now, Duration Pause) {
  this->Phase = LeasePhase::Idle;
  this->Lease = 0;
  this->NextStep = Now + Pause;
}

std::optional<StoreRequest> LeaseKeeper::tick(Instant Now, std::uint64_t Id) {
  if (this->Phase == LeasePhase::Held && Now >= this->HeldUntil)
    this->giveUp(Now, Duration(0));
  if (this->OpenRequest != 0 || Now < this->NextStep)
    return std::nullopt;
  switch (this->Phase) {
  case LeasePhase::Idle:
    if (!this->Eligible)
      return std::nullopt;
    this->Phase = LeasePhase::Granting;
    return this->open(Now, Id, StoreLeaseGrant{LeaseTimeToLive});
  case LeasePhase::Claiming:
    return this->open(
        Now, Id,
        StoreTxn{.Compares = {{keys::Coordinator, 0}},
                 .Puts = {{keys::Coordinator, this->Name, this->Lease}},
                 .Deletes = {}});
  case LeasePhase::Held:
    if (!this->Eligible) {
      this->Phase = LeasePhase::Revoking;
      return this->open(Now, Id, StoreLeaseRevoke{this->Lease});
    }
    return this->open(Now, Id, StoreLeaseKeepAlive{this->Lease});
  case LeasePhase::Revoking:
    return this->open(Now, Id, StoreLeaseRevoke{this->Lease});
  case LeasePhase::Granting:
    return std::nullopt;
  }
  return std::nullopt;
}

bool LeaseKeeper::handle(Instant Now, const StoreReply &Reply) {
  if (this->OpenRequest == 0 || Reply.Id != this->OpenRequest)
    return false;
  this->OpenRequest = 0;
  switch (this->Phase) {
  case LeasePhase::Granting:
    if (!Reply.Status.ok()) {
      this->giveUp(Now, ErrorPause);
      break;
    }
    this->Lease = Reply.Lease;
    this->HeldUntil = this->OpenedAt + LeaseTimeToLive;
    this->Phase = LeasePhase::Claiming;
    break;
  case LeasePhase::Claiming:
    if (!Reply.Status.ok()) {
      // The claim may have been applied; its lease ends by itself.
      this->giveUp(Now, LeaseTimeToLive);
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
      this->giveUp(Now, Duration(0));
    else
      this->HeldUntil = this->OpenedAt + LeaseTimeToLive;
    break;
  case LeasePhase::Revoking:
    this->giveUp(Now, HeldElsewherePause);
    break;
  case LeasePhase::Idle:
    break;
  }
  return true;
}

} // namespace orioledoor::ownership::internal
