// Handles the inputs of the coordinator: ticks, store replies, store changes
// and messages.
#include "orioledoor/ownership/coordinator.h"

#include <algorithm>

#include "orioledoor/ownership/internal/coordinator_state.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ownership {

using internal::CoordinatorPhase;

namespace {

// Facts that arrive within this interval are combined in one write.
constexpr Duration PlanInterval = std::chrono::milliseconds(200);
// Planning interval without new input, when only moves for load balance can
// arise. A plan reads every slice; at PlanInterval it would exceed the
// node's budget for control work.
constexpr Duration IdlePlanInterval = std::chrono::seconds(5);
// Time during which no change may require a promise from a member that did not
// reply to an earlier request.
constexpr Duration UnresponsiveDuration = std::chrono::seconds(3);
constexpr Duration StoreErrorRetryDelay = std::chrono::milliseconds(500);
// Guards against a lost reply. The event loop ends every store call earlier.
constexpr Duration StoreReplyTimeout = std::chrono::seconds(10);

} // namespace

Coordinator::Coordinator(const LocalNode &Self)
    : Impl(std::make_unique<State>(Self)) {}
Coordinator::~Coordinator() = default;
Coordinator::Coordinator(Coordinator &&) noexcept = default;
Coordinator &Coordinator::operator=(Coordinator &&) noexcept = default;

void Coordinator::setEligible(bool Eligible) {
  this->Impl->Lease.setEligible(Eligible);
}

void Coordinator::setSelf(MemberId Self) { this->Impl->Self = Self; }

void Coordinator::setPermitted(bool Permitted) {
  this->Impl->Permitted = Permitted;
}

bool Coordinator::isActive() const {
  return this->Impl->CurrentPhase != CoordinatorPhase::Passive;
}

void Coordinator::tick(Instant Now, std::int64_t WallMicros,
                       const FactSet &KnownFacts, Effects &Output) {
  State &S = *this->Impl;
  if (S.ActiveCatalogue && !S.CatalogueActiveSince)
    S.CatalogueActiveSince = Now;
  if (auto Request = S.Lease.tick(Now, S.nextRequestId()))
    Output.push_back(CallStore{std::move(*Request)});
  if (!S.Lease.isHeld(Now)) {
    // The outcome of a pending write is decided by its comparison in the store.
    if (S.CurrentPhase == CoordinatorPhase::AwaitingResponses)
      S.withdrawPromises(Output);
    S.CurrentPhase = CoordinatorPhase::Passive;
    return;
  }
  S.detectNewInput(Now, KnownFacts);
  bool ReplyOverdue = Now - S.RequestSentAt >= StoreReplyTimeout;
  if (S.ActiveCatalogue)
    S.SpendAllocation.tick(
        Now, *S.ActiveCatalogue, [&] { return S.nextRequestId(); }, Output);
  switch (S.CurrentPhase) {
  case CoordinatorPhase::Passive:
    if (Now >= S.NextPlan)
      S.loadFromStore(Now, Output);
    break;
  case CoordinatorPhase::Loading:
  case CoordinatorPhase::Checking:
  case CoordinatorPhase::Writing:
    if (ReplyOverdue)
      S.CurrentPhase = CoordinatorPhase::Passive;
    break;
  case CoordinatorPhase::Ready:
    if (Now < S.NextPlan || Now < S.NextWrite)
      break;
    S.NextPlan =
        Now + (Now < S.FrequentPlanningUntil ? PlanInterval : IdlePlanInterval);
    S.plan(Now, KnownFacts, Output);
    break;
  case CoordinatorPhase::AwaitingResponses:
    S.requestResponses(Now, Output);
    break;
  }
  if (S.CurrentPhase != CoordinatorPhase::AwaitingResponses)
    return;
  if (S.hasAllResponses()) {
    S.startWrite(Now, WallMicros, Output);
  } else if (Now >= S.ResponseDeadline) {
    for (MemberId Id : S.PendingPlan.RequiredPromises)
      if (!S.ReceivedPromises.contains(Id))
        S.UnresponsiveUntil[Id] = Now + UnresponsiveDuration;
    S.GuardianRenewals.recordTimeouts(S.PendingPlan.RequiredConsents,
                                      S.ReceivedConsents, Now);
    S.withdrawPromises(Output);
    S.CurrentPhase = CoordinatorPhase::Ready;
    S.NextPlan = Now;
  }
}

void Coordinator::updateAssignment(const Assignment &Current,
                                   std::int64_t ModRevision) {
  State &S = *this->Impl;
  // Only an assignment read from the store can be the base of a write.
  if (ModRevision > S.StoredRevision &&
      S.CurrentPhase != CoordinatorPhase::Writing &&
      S.CurrentPhase != CoordinatorPhase::AwaitingResponses &&
      S.CurrentPhase != CoordinatorPhase::Checking)
    S.setStoredAssignment(Current, ModRevision);
}

void Coordinator::updateCatalogue(std::shared_ptr<const Catalogue> Current) {
  this->Impl->ActiveCatalogue = std::move(Current);
  this->Impl->CatalogueActiveSince.reset();
  this->Impl->HasNewInput = true;
}

void Coordinator::handle(Instant Now, const StoreReply &Reply,
                         Effects &Output) {
  State &S = *this->Impl;
  if (S.Lease.handle(Now, Reply) || S.SpendAllocation.handle(Reply, Output))
    return;
  if (Reply.Id == S.WriteRequestId &&
      S.CurrentPhase == CoordinatorPhase::Writing) {
    S.finishWrite(Now, Reply, Output);
    return;
  }
  if (Reply.Id == S.CheckReadId &&
      S.CurrentPhase == CoordinatorPhase::Checking) {
    S.finishCheck(Now, Reply, Output);
    return;
  }
  if (S.CurrentPhase != CoordinatorPhase::Loading ||
      (Reply.Id != S.AssignmentReadId && Reply.Id != S.JoinsReadId))
    return;
  bool IsAssignment = Reply.Id == S.AssignmentReadId;
  (IsAssignment ? S.AssignmentReadId : S.JoinsReadId) = 0;
  absl::StatusOr<Assignment> Read{Assignment{}};
  if (IsAssignment && Reply.Status.ok() && !Reply.Entries.empty())
    Read = decodeAssignment(Reply.Entries.front().Value);
  if (!Reply.Status.ok() || !Read.ok()) {
    S.CurrentPhase = CoordinatorPhase::Passive;
    S.NextPlan = Now + StoreErrorRetryDelay;
    return;
  }
  if (IsAssignment)
    S.setStoredAssignment(
        *Read, Reply.Entries.empty() ? 0 : Reply.Entries.front().ModRevision);
  else
    for (const StoreEntry &Entry : Reply.Entries)
      S.addJoin(Entry.Value);
  if (S.AssignmentReadId == 0 && S.JoinsReadId == 0) {
    S.CurrentPhase = CoordinatorPhase::Ready;
    S.NextPlan = Now;
  }
}

void Coordinator::handle(Instant Now, const StoreChange &Change) {
  State &S = *this->Impl;
  if (Change.Entry.Key == keys::Coordinator && Change.Deleted)
    S.Lease.onReleased(Now);
  if (Change.Entry.Key.starts_with(keys::JoinPrefix) && !Change.Deleted)
    S.addJoin(Change.Entry.Value);
}

void Coordinator::handle(Instant, const Promise &Received) {
  State &S = *this->Impl;
  if (S.CurrentPhase != CoordinatorPhase::AwaitingResponses ||
      Received.Attempt != S.Attempt)
    return;
  // Ignores the promise of a member that already serves slices of an owner that
  // this plan considers live, since the plan might displace the member. Gossip
  // delivers the missing fact before the next plan.
  auto IsDeposed = [&](MemberId Id) {
    return S.PendingPlan.Next.isDeposed(Id);
  };
  if (std::ranges::all_of(Received.ActingFor, IsDeposed))
    S.ReceivedPromises.insert(Received.From);
}

void Coordinator::handle(Instant, const Consent &Received) {
  State &S = *this->Impl;
  if (S.CurrentPhase == CoordinatorPhase::AwaitingResponses &&
      Received.Version == S.PendingPlan.Next.Version)
    S.ReceivedConsents.insert(RequiredConsent{Received.From, Received.Member});
}

void Coordinator::handle(Instant, const YieldAck &Received) {
  State &S = *this->Impl;
  const SliceOwner *Owner = S.StoredAssignment.find(Received.Slice);
  if (!Owner || Owner->FencingNumber < Received.FencingNumber) {
    S.CompletedHandovers[Received.Slice] = Received;
    S.HasNewInput = true;
  }
}

void Coordinator::handle(Instant Now, const LoadReport &Received) {
  State &S = *this->Impl;
  S.Loads.add(Received, Now);
  if (Received.Leaving && !S.StoredAssignment.isDeposed(Received.From))
    S.HasNewInput |= S.LeavingMembers.insert(Received.From).second;
}

void Coordinator::handle(Instant, std::string_view From,
                         const SpendRequest &Received) {
  this->Impl->SpendAllocation.request(From, Received);
}

} // namespace orioledoor::ownership
