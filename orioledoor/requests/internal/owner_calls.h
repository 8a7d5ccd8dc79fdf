// Member functions of OwnerSide that process a Forward from its arrival to its
// answer. Included by owner_side.h only.
#ifndef ORIOLEDOOR_REQUESTS_INTERNAL_OWNER_CALLS_H
#define ORIOLEDOOR_REQUESTS_INTERNAL_OWNER_CALLS_H

#include <algorithm>

#include "orioledoor/requests/internal/owner_side.h"

namespace orioledoor::requests::internal {

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::handleForward(Forward Received, const Ctx &C) {
  bool FromSelf =
      Received.EntryId == this->Shared.Options.Seed && Received.Hops == 0;
  // Messages from this node to itself bypass the network and are never
  // duplicated.
  if (!FromSelf && !this->Duplicates.accept(Received, C.Now))
    return;
  Id RecordId = ++this->LastId;
  OwnerRequest &Record = this->Requests[RecordId];
  Record.Received = std::move(Received);
  Record.Deadline = C.Now + Record.Received.Remaining;
  this->RecordByRequest[{Record.Received.EntryId, Record.Received.RequestId}] =
      RecordId;
  this->Timers.push(Record.Deadline, RecordId);
  this->admit(RecordId, C);
}

template <ownership::RoutingView Routing>
std::optional<ownership::Gate>
OwnerSide<Routing>::gateOf(const OwnerRequest &Record, const Ctx &C) const {
  if (!Record.AnyMember)
    return C.Routes.gate(Record.Received.Slice, C.Now);
  Instant End = C.Routes.permissionEnd();
  if (End <= C.Now)
    return std::nullopt;
  return ownership::Gate{Fence{}, End};
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::admit(Id RecordId, const Ctx &C) {
  OwnerRequest &Record = this->Requests.at(RecordId);
  Record.State = OwnerRequestState::Arrived;
  const ServiceEntry *Entry =
      this->Shared.Services.find(Record.Received.Slice.Service);
  if (!Entry)
    return this->refuse(RecordId,
                        {.Status = 404,
                         .Step = "catalogue",
                         .Message = "the catalogue has no such service"},
                        C);
  Record.Class = Entry->Class;
  Record.Idempotent = isIdempotent(*Entry, Record.Received.Request->Method);
  Record.AnyMember = Record.Idempotent && !Entry->DividedByKey;
  OwnedSlice *Slice =
      Record.AnyMember ? nullptr : this->findSlice(Record.Received.Slice);
  if (Slice && Slice->Draining)
    return this->park(RecordId, Record, *Slice, C);
  if ((!Record.AnyMember && !Slice) || !this->gateOf(Record, C))
    return this->forwardToOwner(RecordId, C);
  if (auto Refused = refusalFor(
          this->Shared.Crashes.stateOf(Record.Received.Digest, C.Now)))
    return this->refuse(RecordId, *Refused, C);
  if (!Record.Idempotent &&
      !this->deduplicate(RecordId, Record, Slice->Table, C))
    return;
  if (!this->reserveCapacity(RecordId, Record, C))
    return;
  if (!Record.Idempotent) {
    Slice->Table.insert(
        Record.Received.OperationId,
        contentDigest(*Record.Received.Request, Record.Received.Digest),
        RecordId, C.Now);
    Record.InOperationTable = true;
  }
  if (this->Queue.slotFree())
    return this->start(RecordId, C);
  Record.State = OwnerRequestState::Queued;
  AdmissionQueue::PushResult Result = this->Queue.push(RecordId, Record.Class);
  Refusal Overload{.Status = 503,
                   .Step = "admission",
                   .Message = "the target's queue is full",
                   .RetryAfter = this->Queue.expectedWait(Record.Class)};
  if (Result.Shed)
    this->refuse(*Result.Shed, Overload, C);
  if (!Result.Queued)
    this->refuse(RecordId, Overload, C);
}

template <ownership::RoutingView Routing>
bool OwnerSide<Routing>::deduplicate(Id RecordId, OwnerRequest &Record,
                                     OperationTable &Table, const Ctx &C) {
  if (Operation *Known = Table.find(Record.Received.OperationId, C.Now)) {
    if (Known->Digest !=
        contentDigest(*Record.Received.Request, Record.Received.Digest)) {
      this->refuse(RecordId,
                   {.Status = 409,
                    .Result = Outcome::Unknown,
                    .Step = "deduplication",
                    .Message = "the operation identifier was used with "
                               "different content"},
                   C);
    } else if (Known->State == OperationState::Running) {
      Record.State = OwnerRequestState::Coalesced;
      this->Requests.at(Known->OwnerRequestId).Waiters.push_back(RecordId);
    } else if (Known->State == OperationState::Answered) {
      Answer CachedAnswer;
      CachedAnswer.Result = Outcome::Ran;
      CachedAnswer.Response = Known->Response;
      this->finish(RecordId, std::move(CachedAnswer), C);
    } else {
      this->refuse(RecordId,
                   {.Status = 503,
                    .Result = Outcome::Unknown,
                    .Step = "deduplication",
                    .Message = "an earlier send ended without an answer"},
                   C);
    }
    return false;
  }
  switch (Table.checkReplay(Record.Received, C.Now)) {
  case ReplayCheck::New:
    return true;
  case ReplayCheck::WrongHistory:
    this->refuse(RecordId,
                 {.Status = 503,
                  .Retry = RetryAdvice::HistoryChanged,
                  .Step = "history",
                  .Message = "the slice has another history"},
                 C);
    return false;
  case ReplayCheck::TooOld:
    this->refuse(RecordId,
                 {.Status = 410,
                  .Result = Outcome::Unknown,
                  .Step = "history",
                  .Message = "the operation is older than 10 minutes"},
                 C);
    return false;
  case ReplayCheck::Uncertain:
    this->refuse(RecordId,
                 {.Status = 503,
                  .Result = Outcome::Unknown,
                  .Step = "history",
                  .Message = "an earlier owner may have run the operation"},
                 C);
    return false;
  }
  return false;
}

template <ownership::RoutingView Routing>
bool OwnerSide<Routing>::reserveCapacity(Id RecordId, OwnerRequest &Record,
                                         const Ctx &C) {
  const ServiceEntry &Entry =
      *this->Shared.Services.find(Record.Received.Slice.Service);
  if (!this->TargetReady) {
    this->refuse(RecordId,
                 {.Status = 503,
                  .Retry = RetryAdvice::Free,
                  .Step = "target",
                  .Message = "the target is not ready"},
                 C);
    return false;
  }
  Duration Wait = this->Queue.expectedWait(Record.Class);
  if (C.Now + Wait >= Record.Deadline) {
    this->refuse(RecordId,
                 {.Status = 503,
                  .Step = "admission",
                  .Message = "the deadline is shorter than the queue",
                  .RetryAfter = Wait},
                 C);
    return false;
  }
  RateLimiter &Limiter = this->Limiters[Entry.Id];
  if (Entry.Limits.RequestsPerSecond > 0 &&
      !Limiter.tryTake(Entry.Limits.RequestsPerSecond,
                       C.Routes.ownedShare(Entry.Id), C.Now)) {
    this->refuse(RecordId,
                 {.Status = 429,
                  .Step = "rate limit",
                  .Message = "the service's rate limit is reached",
                  .RetryAfter = Limiter.timeUntilNextToken()},
                 C);
    return false;
  }
  if (Entry.Limits.SpendPerDay == 0)
    return true;
  std::uint32_t Day = this->Shared.Day;
  Record.SpendReserved = this->Spend.trySpend(Entry.Id, Day);
  Record.SpendDay = Day;
  if (auto Amount =
          this->Spend.amountToRequest(Entry.Id, Day, Entry.Limits.SpendPerDay,
                                      C.Routes.ownedShare(Entry.Id), C.Now))
    C.Output.push_back(RequestSpend{Entry.Id, *Amount, Day});
  if (Record.SpendReserved)
    return true;
  this->refuse(RecordId,
               {.Status = 429,
                .Step = "spend",
                .Message = "the node's share of the day's spend is used up",
                .RetryAfter = std::chrono::seconds(1)},
               C);
  return false;
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::start(Id RecordId, const Ctx &C) {
  OwnerRequest &Record = this->Requests.at(RecordId);
  OwnedSlice *Slice =
      Record.AnyMember ? nullptr : this->findSlice(Record.Received.Slice);
  // Final check before the call: the permission may have ended, or the node may
  // have lost the slice, while the request was queued.
  std::optional<ownership::Gate> Gate = this->gateOf(Record, C);
  if (!Gate || (!Record.AnyMember && !Slice))
    return this->refuse(RecordId,
                        {.Status = 503,
                         .Retry = RetryAdvice::Free,
                         .Step = "gate",
                         .Message = "this node is no longer the owner"},
                        C);
  Instant End = this->ChecksFence ? Record.Deadline
                                  : std::min(Record.Deadline, Gate->ValidUntil);
  if (End <= C.Now)
    return this->refuse(RecordId,
                        {.Status = 504,
                         .Step = "admission",
                         .Message = "the deadline passed before the call"},
                        C);
  Record.State = OwnerRequestState::Running;
  Record.StartedAt = C.Now;
  Record.FencingNumber = Gate->FencingNumber;
  this->Queue.callStarted();
  if (Slice)
    Slice->Running.insert(RecordId);
  C.Output.push_back(CallTarget{RecordId, Record.Received.Request,
                                Record.Received.OperationId,
                                Record.Received.Slice, Gate->FencingNumber,
                                End - C.Now, std::min(End, Gate->ValidUntil)});
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::startQueued(const Ctx &C) {
  while (this->TargetReady && this->Queue.slotFree()) {
    std::optional<Id> Next = this->Queue.pop();
    if (!Next)
      return;
    this->start(*Next, C);
  }
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::forwardToOwner(Id RecordId, const Ctx &C) {
  OwnerRequest &Record = this->Requests.at(RecordId);
  std::optional<ownership::Route> Next;
  if (!Record.AnyMember)
    Next = C.Routes.route(Record.Received.Slice);
  if (Next && !Next->Local && Record.Received.Hops >= MaxHops)
    C.Output.push_back(
        WriteLog{LogRecord{&events::HopLimitReached,
                           {{"service", Record.Received.Request->Service},
                            {"next", Next->Address}}}});
  if (!Next || Next->Local || Record.Received.Hops >= MaxHops)
    return this->refuse(RecordId,
                        {.Status = 503,
                         .Retry = RetryAdvice::Free,
                         .Step = "gate",
                         .Message = "this node is not the owner"},
                        C);
  ++Record.Received.Hops;
  Record.Received.Remaining = Record.Deadline - C.Now;
  this->RecordByRequest.erase(
      {Record.Received.EntryId, Record.Received.RequestId});
  C.Output.push_back(
      SendPeer{std::move(Next->Address), std::move(Record.Received)});
  this->Requests.erase(RecordId);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::finish(Id RecordId, Answer Reply, const Ctx &C) {
  auto Node = this->Requests.extract(RecordId);
  OwnerRequest &Record = Node.mapped();
  this->RecordByRequest.erase(
      {Record.Received.EntryId, Record.Received.RequestId});
  if (Reply.Result == Outcome::NotRun) {
    this->undoAdmission(RecordId, Record, C);
  } else if (Operation *Held = this->findOperation(RecordId, Record, C)) {
    bool Ran = Reply.Result == Outcome::Ran;
    Held->State = Ran ? OperationState::Answered : OperationState::Unknown;
    if (Ran)
      Held->Response = Reply.Response;
  }
  Reply.FencingNumber = Record.FencingNumber;
  for (Id Waiter : Record.Waiters) {
    auto WaiterEntry = this->Requests.find(Waiter);
    if (WaiterEntry == this->Requests.end())
      continue;
    Answer WaiterReply = Reply;
    // The entry node may send the refused request again, so a refusal does not
    // prove to the waiters that the operation will not run.
    if (WaiterReply.Result == Outcome::NotRun)
      WaiterReply.Result = Outcome::Unknown;
    WaiterReply.Retry = RetryAdvice::None;
    this->finish(Waiter, std::move(WaiterReply), C);
  }
  this->sendAnswer(Record.Received, std::move(Reply), C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::refuse(Id RecordId, const Refusal &Reason,
                                const Ctx &C) {
  this->finish(RecordId,
               makeRefusalAnswer(this->Requests.at(RecordId).Received, Reason),
               C);
}

template <ownership::RoutingView Routing>
Operation *OwnerSide<Routing>::findOperation(Id RecordId,
                                             const OwnerRequest &Record,
                                             const Ctx &C) {
  if (!Record.InOperationTable)
    return nullptr;
  OwnedSlice *Slice = this->findSlice(Record.Received.Slice);
  Operation *Held =
      Slice ? Slice->Table.find(Record.Received.OperationId, C.Now) : nullptr;
  // A table that was adopted in the meantime may hold the operation for another
  // record.
  bool Own = Held && Held->State == OperationState::Running &&
             Held->OwnerRequestId == RecordId;
  return Own ? Held : nullptr;
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::undoAdmission(Id RecordId, OwnerRequest &Record,
                                       const Ctx &C) {
  if (this->findOperation(RecordId, Record, C))
    this->findSlice(Record.Received.Slice)
        ->Table.erase(Record.Received.OperationId);
  Record.InOperationTable = false;
  if (std::exchange(Record.SpendReserved, false))
    this->Spend.refund(Record.Received.Slice.Service, Record.SpendDay);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::sendAnswer(const Forward &Origin, Answer Reply,
                                    const Ctx &C) {
  Reply.EntryId = Origin.EntryId;
  Reply.RequestId = Origin.RequestId;
  Reply.Owner = this->SelfMember;
  if (!Reply.Step.empty())
    Reply.Peer = this->Shared.Options.PeerAddress;
  if (const OwnedSlice *Slice = this->findSlice(Origin.Slice)) {
    Reply.History = Slice->Table.historyId();
    Reply.HistoryAge = Slice->Table.historyAge(C.Now);
  }
  if (Origin.ReplyTo == this->Shared.Options.PeerAddress)
    this->Shared.LocalMessages.emplace_back(std::move(Reply));
  else
    C.Output.push_back(SendPeer{Origin.ReplyTo, std::move(Reply)});
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::releaseSlot(Id RecordId, OwnerRequest &Record,
                                     const Ctx &C) {
  this->Queue.callEnded(C.Now - Record.StartedAt);
  if (OwnedSlice *Slice =
          Record.AnyMember ? nullptr : this->findSlice(Record.Received.Slice))
    Slice->Running.erase(RecordId);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::handleTargetAnswer(TargetAnswered Event,
                                            const Ctx &C) {
  auto Found = this->Requests.find(Event.CallId);
  if (Found == this->Requests.end() ||
      Found->second.State != OwnerRequestState::Running)
    return;
  OwnerRequest &Record = Found->second;
  SliceRef Ref = Record.Received.Slice;
  // The answer shows that the target is alive, so connections that broke before
  // this call started were not caused by a crash.
  while (!this->ConnectionBreaks.empty() &&
         this->ConnectionBreaks.front().BrokenAt < Record.StartedAt) {
    Id ProbedId = this->ConnectionBreaks.front().RecordId;
    this->ConnectionBreaks.pop_front();
    if (this->Requests.contains(ProbedId))
      this->refuse(ProbedId,
                   {.Status = 502,
                    .Result = Outcome::Unknown,
                    .Retry = RetryAdvice::Counted,
                    .Step = "target",
                    .Message = "the connection to the target broke"},
                   C);
  }
  this->releaseSlot(Event.CallId, Record, C);
  Answer Reply;
  Reply.Result = Outcome::Ran;
  Reply.Response = std::move(Event.Answer);
  this->finish(Event.CallId, std::move(Reply), C);
  if (OwnedSlice *Slice = this->findSlice(Ref))
    this->reportIfDrained(Ref, *Slice, C);
  this->startQueued(C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::handleTargetFailure(const TargetFailed &Event,
                                             const Ctx &C) {
  auto Found = this->Requests.find(Event.CallId);
  if (Found == this->Requests.end() ||
      Found->second.State != OwnerRequestState::Running)
    return;
  OwnerRequest &Record = Found->second;
  SliceRef Ref = Record.Received.Slice;
  this->releaseSlot(Event.CallId, Record, C);
  Refusal Reason{.Status = 502,
                 .Result = Outcome::Unknown,
                 .Retry = RetryAdvice::Counted,
                 .Step = "target",
                 .Message = Event.Detail};
  if (Event.Failure == TargetFailure::NotSent)
    Reason.Result = Outcome::NotRun;
  if (Event.Failure == TargetFailure::TimedOut)
    Reason.Status = 504;
  bool ConnectionBroke = Event.Failure == TargetFailure::ConnectionLost;
  if (ConnectionBroke) {
    while (!this->ConnectionBreaks.empty() &&
           C.Now - this->ConnectionBreaks.front().BrokenAt > BreakRetention)
      this->ConnectionBreaks.pop_front();
    this->ConnectionBreaks.push_back(
        ConnectionBreak{C.Now, Record.Received.Digest, Event.CallId});
    this->broadcastSuspicion(Record.Received.Digest, C);
  }
  if (ConnectionBroke && Record.Idempotent) {
    // A retry must not reach a second target until the probes show whether this
    // request crashed the first one.
    Record.State = OwnerRequestState::AwaitingProbe;
    this->Timers.push(C.Now + MaxProbeTime, Event.CallId);
  } else {
    this->refuse(Event.CallId, Reason, C);
  }
  if (OwnedSlice *Slice = this->findSlice(Ref))
    this->reportIfDrained(Ref, *Slice, C);
  this->startQueued(C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::handleCancel(const Cancel &Cancellation,
                                      const Ctx &C) {
  auto Found = this->RecordByRequest.find(
      {Cancellation.EntryId, Cancellation.RequestId});
  if (Found == this->RecordByRequest.end())
    return;
  Id RecordId = Found->second;
  OwnerRequest &Record = this->Requests.at(RecordId);
  SliceRef Ref = Record.Received.Slice;
  // Non-idempotent operations continue: the caller may send the operation again
  // and ask for its answer, and coalesced requests wait for it now.
  if (!Record.Idempotent)
    return;
  if (Record.State == OwnerRequestState::Queued)
    this->Queue.remove(RecordId, Record.Class);
  if (Record.State == OwnerRequestState::Running) {
    C.Output.push_back(CancelTarget{RecordId});
    this->releaseSlot(RecordId, Record, C);
  } else {
    this->undoAdmission(RecordId, Record, C);
  }
  this->RecordByRequest.erase(Found);
  this->Requests.erase(RecordId);
  if (OwnedSlice *Slice = this->findSlice(Ref))
    this->reportIfDrained(Ref, *Slice, C);
  this->startQueued(C);
}

} // namespace orioledoor::requests::internal

#endif // ORIOLEDOOR_REQUESTS_INTERNAL_OWNER_CALLS_H
