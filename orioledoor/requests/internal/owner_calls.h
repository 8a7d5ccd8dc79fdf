// Bodies of OwnerSide: from the arrival of a Forward to its answer.
// Included by owner_side.h only.
#ifndef ORIOLEDOOR_REQUESTS_INTERNAL_OWNER_CALLS_H
#define ORIOLEDOOR_REQUESTS_INTERNAL_OWNER_CALLS_H

#include <algorithm>

#include "orioledoor/requests/internal/owner_side.h"

namespace orioledoor::requests::internal {

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::accept(Forward Sent, const Ctx &C) {
  bool FromSelf = Sent.EntryId == this->Shared.Options.Seed && Sent.Hops == 0;
  // A message of this node to itself has no copies.
  if (!FromSelf && !this->Duplicates.accept(Sent, C.Now))
    return;
  Id Which = ++this->LastId;
  Work &W = this->Works[Which];
  W.Sent = std::move(Sent);
  W.Deadline = C.Now + W.Sent.Remaining;
  this->ByRequest[{W.Sent.EntryId, W.Sent.RequestId}] = Which;
  this->Timers.push(W.Deadline, Which);
  this->admit(Which, C);
}

template <ownership::RoutingView Routing>
std::optional<ownership::Gate> OwnerSide<Routing>::gateOf(const Work &W,
                                                          const Ctx &C) const {
  if (!W.AnyMember)
    return C.Routes.gate(W.Sent.Slice, C.Now);
  Instant End = C.Routes.permissionEnd();
  if (End <= C.Now)
    return std::nullopt;
  return ownership::Gate{Fence{}, End};
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::admit(Id Which, const Ctx &C) {
  Work &W = this->Works.at(Which);
  W.State = WorkState::Arrived;
  const ServiceEntry *Entry = this->Shared.Services.find(W.Sent.Slice.Service);
  if (!Entry)
    return this->refuse(Which,
                        {.Status = 404,
                         .Step = "catalogue",
                         .Message = "the catalogue has no such service"},
                        C);
  W.Class = Entry->Class;
  W.Idempotent = isIdempotent(*Entry, W.Sent.Request->Method);
  W.AnyMember = W.Idempotent && !Entry->DividedByKey;
  OwnedSlice *Slice = W.AnyMember ? nullptr : this->findSlice(W.Sent.Slice);
  if (Slice && Slice->Draining)
    return this->park(Which, W, *Slice, C);
  if ((!W.AnyMember && !Slice) || !this->gateOf(W, C))
    return this->passOn(Which, C);
  if (auto Refused =
          refusalOf(this->Shared.Crashes.judge(W.Sent.Digest, C.Now)))
    return this->refuse(Which, *Refused, C);
  if (!W.Idempotent && !this->deduplicate(Which, W, Slice->Table, C))
    return;
  if (!this->takeCapacity(Which, W, C))
    return;
  if (!W.Idempotent) {
    Slice->Table.insert(W.Sent.OperationId,
                        contentDigest(*W.Sent.Request, W.Sent.Digest), Which,
                        C.Now);
    W.Recorded = true;
  }
  if (this->Queue.slotFree())
    return this->start(Which, C);
  W.State = WorkState::Queued;
  AdmissionQueue::Pushed Result = this->Queue.push(Which, W.Class);
  Refusal Overload{.Status = 503,
                   .Step = "admission",
                   .Message = "the target's queue is full",
                   .RetryAfter = this->Queue.expectedWait(W.Class)};
  if (Result.Shed)
    this->refuse(*Result.Shed, Overload, C);
  if (!Result.Queued)
    this->refuse(Which, Overload, C);
}

template <ownership::RoutingView Routing>
bool OwnerSide<Routing>::deduplicate(Id Which, Work &W, OperationTable &Table,
                                     const Ctx &C) {
  if (Operation *Known = Table.find(W.Sent.OperationId, C.Now)) {
    if (Known->Digest != contentDigest(*W.Sent.Request, W.Sent.Digest)) {
      this->refuse(Which,
                   {.Status = 409,
                    .Result = Outcome::Unknown,
                    .Step = "deduplication",
                    .Message = "the operation identifier was used with "
                               "different content"},
                   C);
    } else if (Known->State == OperationState::Running) {
      W.State = WorkState::Joined;
      this->Works.at(Known->WorkId).Waiters.push_back(Which);
    } else if (Known->State == OperationState::Answered) {
      Answer Kept;
      Kept.Result = Outcome::Ran;
      Kept.Answered = Known->Answered;
      this->finish(Which, std::move(Kept), C);
    } else {
      this->refuse(Which,
                   {.Status = 503,
                    .Result = Outcome::Unknown,
                    .Step = "deduplication",
                    .Message = "an earlier send ended without an answer"},
                   C);
    }
    return false;
  }
  switch (Table.judge(W.Sent, C.Now)) {
  case Novelty::New:
    return true;
  case Novelty::WrongHistory:
    this->refuse(Which,
                 {.Status = 503,
                  .Retry = RetryAdvice::HistoryChanged,
                  .Step = "history",
                  .Message = "the slice has another history"},
                 C);
    return false;
  case Novelty::TooOld:
    this->refuse(Which,
                 {.Status = 410,
                  .Result = Outcome::Unknown,
                  .Step = "history",
                  .Message = "the operation is older than 10 minutes"},
                 C);
    return false;
  case Novelty::Uncertain:
    this->refuse(Which,
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
bool OwnerSide<Routing>::takeCapacity(Id Which, Work &W, const Ctx &C) {
  const ServiceEntry &Entry = *this->Shared.Services.find(W.Sent.Slice.Service);
  if (!this->TargetReady) {
    this->refuse(Which,
                 {.Status = 503,
                  .Retry = RetryAdvice::Free,
                  .Step = "target",
                  .Message = "the target is not ready"},
                 C);
    return false;
  }
  Duration Wait = this->Queue.expectedWait(W.Class);
  if (C.Now + Wait >= W.Deadline) {
    this->refuse(Which,
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
    this->refuse(Which,
                 {.Status = 429,
                  .Step = "rate limit",
                  .Message = "the service's rate limit is reached",
                  .RetryAfter = Limiter.untilNext()},
                 C);
    return false;
  }
  if (Entry.Limits.SpendPerDay == 0)
    return true;
  std::uint32_t Day = this->Shared.Day;
  W.Spent = this->Spend.trySpend(Entry.Id, Day);
  W.SpendDay = Day;
  if (auto Amount =
          this->Spend.amountToRequest(Entry.Id, Day, Entry.Limits.SpendPerDay,
                                      C.Routes.ownedShare(Entry.Id), C.Now))
    C.Output.push_back(RequestSpend{Entry.Id, *Amount, Day});
  if (W.Spent)
    return true;
  this->refuse(Which,
               {.Status = 429,
                .Step = "spend",
                .Message = "the node's share of the day's spend is used up",
                .RetryAfter = std::chrono::seconds(1)},
               C);
  return false;
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::start(Id Which, const Ctx &C) {
  Work &W = this->Works.at(Which);
  OwnedSlice *Slice = W.AnyMember ? nullptr : this->findSlice(W.Sent.Slice);
  // The last check before the call: the permission may have ended or the slice
  // may have gone while the request was queued.
  std::optional<ownership::Gate> Gate = this->gateOf(W, C);
  if (!Gate || (!W.AnyMember && !Slice))
    return this->refuse(Which,
                        {.Status = 503,
                         .Retry = RetryAdvice::Free,
                         .Step = "gate",
                         .Message = "this node is no longer the owner"},
                        C);
  Instant End =
      this->ChecksFence ? W.Deadline : std::min(W.Deadline, Gate->ValidUntil);
  if (End <= C.Now)
    return this->refuse(Which,
                        {.Status = 504,
                         .Step = "admission",
                         .Message = "the deadline passed before the call"},
                        C);
  W.State = WorkState::Running;
  W.StartedAt = C.Now;
  W.Number = Gate->FencingNumber;
  this->Queue.callStarted();
  if (Slice)
    Slice->Running.insert(Which);
  C.Output.push_back(CallTarget{Which, W.Sent.Request, W.Sent.OperationId,
                                W.Sent.Slice, Gate->FencingNumber, End - C.Now,
                                std::min(End, Gate->ValidUntil)});
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::pump(const Ctx &C) {
  while (this->TargetReady && this->Queue.slotFree()) {
    std::optional<Id> Next = this->Queue.pop();
    if (!Next)
      return;
    this->start(*Next, C);
  }
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::passOn(Id Which, const Ctx &C) {
  Work &W = this->Works.at(Which);
  std::optional<ownership::Route> Next;
  if (!W.AnyMember)
    Next = C.Routes.route(W.Sent.Slice);
  if (Next && !Next->Local && W.Sent.Hops >= MaxHops)
    C.Output.push_back(WriteLog{LogRecord{
        &events::HopLimitReached,
        {{"service", W.Sent.Request->Service}, {"next", Next->Address}}}});
  if (!Next || Next->Local || W.Sent.Hops >= MaxHops)
    return this->refuse(Which,
                        {.Status = 503,
                         .Retry = RetryAdvice::Free,
                         .Step = "gate",
                         .Message = "this node is not the owner"},
                        C);
  ++W.Sent.Hops;
  W.Sent.Remaining = W.Deadline - C.Now;
  this->ByRequest.erase({W.Sent.EntryId, W.Sent.RequestId});
  C.Output.push_back(SendPeer{std::move(Next->Address), std::move(W.Sent)});
  this->Works.erase(Which);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::finish(Id Which, Answer Ended, const Ctx &C) {
  auto Node = this->Works.extract(Which);
  Work &W = Node.mapped();
  this->ByRequest.erase({W.Sent.EntryId, W.Sent.RequestId});
  if (Ended.Result == Outcome::NotRun) {
    this->forget(Which, W, C);
  } else if (Operation *Held = this->operationOf(Which, W, C)) {
    bool Ran = Ended.Result == Outcome::Ran;
    Held->State = Ran ? OperationState::Answered : OperationState::Unknown;
    if (Ran)
      Held->Answered = Ended.Answered;
  }
  Ended.Number = W.Number;
  for (Id Waiter : W.Waiters) {
    auto Joined = this->Works.find(Waiter);
    if (Joined == this->Works.end())
      continue;
    Answer Copy = Ended;
    // The record that ran the operation may be sent again by its entry node,
    // so its waiters learn nothing certain from a refusal.
    if (Copy.Result == Outcome::NotRun)
      Copy.Result = Outcome::Unknown;
    Copy.Retry = RetryAdvice::None;
    this->finish(Waiter, std::move(Copy), C);
  }
  this->send(W.Sent, std::move(Ended), C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::refuse(Id Which, const Refusal &Why, const Ctx &C) {
  this->finish(Which, answerRefusal(this->Works.at(Which).Sent, Why), C);
}

template <ownership::RoutingView Routing>
Operation *OwnerSide<Routing>::operationOf(Id Which, const Work &W,
                                           const Ctx &C) {
  if (!W.Recorded)
    return nullptr;
  OwnedSlice *Slice = this->findSlice(W.Sent.Slice);
  Operation *Held =
      Slice ? Slice->Table.find(W.Sent.OperationId, C.Now) : nullptr;
  // A table adopted meanwhile may hold the operation of another record.
  bool Own =
      Held && Held->State == OperationState::Running && Held->WorkId == Which;
  return Own ? Held : nullptr;
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::forget(Id Which, Work &W, const Ctx &C) {
  if (this->operationOf(Which, W, C))
    this->findSlice(W.Sent.Slice)->Table.erase(W.Sent.OperationId);
  W.Recorded = false;
  if (std::exchange(W.Spent, false))
    this->Spend.refund(W.Sent.Slice.Service, W.SpendDay);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::send(const Forward &Origin, Answer Ended,
                              const Ctx &C) {
  Ended.EntryId = Origin.EntryId;
  Ended.RequestId = Origin.RequestId;
  Ended.Owner = this->Self;
  if (!Ended.Step.empty())
    Ended.Peer = this->Shared.Options.PeerAddress;
  if (const OwnedSlice *Slice = this->findSlice(Origin.Slice)) {
    Ended.History = Slice->Table.historyId();
    Ended.HistoryAge = Slice->Table.historyAge(C.Now);
  }
  if (Origin.ReplyTo == this->Shared.Options.PeerAddress)
    this->Shared.ToSelf.emplace_back(std::move(Ended));
  else
    C.Output.push_back(SendPeer{Origin.ReplyTo, std::move(Ended)});
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::release(Id Which, Work &W, const Ctx &C) {
  this->Queue.callEnded(C.Now - W.StartedAt);
  if (OwnedSlice *Slice = W.AnyMember ? nullptr : this->findSlice(W.Sent.Slice))
    Slice->Running.erase(Which);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::answered(TargetAnswered Event, const Ctx &C) {
  auto Found = this->Works.find(Event.CallId);
  if (Found == this->Works.end() || Found->second.State != WorkState::Running)
    return;
  Work &W = Found->second;
  SliceRef Ref = W.Sent.Slice;
  // The target lives: breaks before the start of this call were no crashes.
  while (!this->Breaks.empty() && this->Breaks.front().At < W.StartedAt) {
    Id Suspect = this->Breaks.front().Which;
    this->Breaks.pop_front();
    if (this->Works.contains(Suspect))
      this->refuse(Suspect,
                   {.Status = 502,
                    .Result = Outcome::Unknown,
                    .Retry = RetryAdvice::Counted,
                    .Step = "target",
                    .Message = "the connection to the target broke"},
                   C);
  }
  this->release(Event.CallId, W, C);
  Answer Ended;
  Ended.Result = Outcome::Ran;
  Ended.Answered = std::move(Event.Answer);
  this->finish(Event.CallId, std::move(Ended), C);
  if (OwnedSlice *Slice = this->findSlice(Ref))
    this->reportIfDrained(Ref, *Slice, C);
  this->pump(C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::failed(const TargetFailed &Event, const Ctx &C) {
  auto Found = this->Works.find(Event.CallId);
  if (Found == this->Works.end() || Found->second.State != WorkState::Running)
    return;
  Work &W = Found->second;
  SliceRef Ref = W.Sent.Slice;
  this->release(Event.CallId, W, C);
  Refusal Why{.Status = 502,
              .Result = Outcome::Unknown,
              .Retry = RetryAdvice::Counted,
              .Step = "target",
              .Message = Event.Detail};
  if (Event.Failure == TargetFailure::NotSent)
    Why.Result = Outcome::NotRun;
  if (Event.Failure == TargetFailure::TimedOut)
    Why.Status = 504;
  bool Broke = Event.Failure == TargetFailure::ConnectionLost;
  if (Broke) {
    while (!this->Breaks.empty() && C.Now - this->Breaks.front().At > BreakKept)
      this->Breaks.pop_front();
    this->Breaks.push_back(Break{C.Now, W.Sent.Digest, Event.CallId});
    this->announceSuspicion(W.Sent.Digest, C);
  }
  if (Broke && W.Idempotent) {
    // A retry must not reach a second target before the first is known to be
    // lost by this request or not.
    W.State = WorkState::Suspect;
    this->Timers.push(C.Now + ProbeTime, Event.CallId);
  } else {
    this->refuse(Event.CallId, Why, C);
  }
  if (OwnedSlice *Slice = this->findSlice(Ref))
    this->reportIfDrained(Ref, *Slice, C);
  this->pump(C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::cancel(const Cancel &Wanted, const Ctx &C) {
  auto Found = this->ByRequest.find({Wanted.EntryId, Wanted.RequestId});
  if (Found == this->ByRequest.end())
    return;
  Id Which = Found->second;
  Work &W = this->Works.at(Which);
  SliceRef Ref = W.Sent.Slice;
  // The caller may send a non-idempotent operation again and then needs its
  // answer; requests that joined it need it now.
  if (!W.Idempotent)
    return;
  if (W.State == WorkState::Queued)
    this->Queue.remove(Which, W.Class);
  if (W.State == WorkState::Running) {
    C.Output.push_back(CancelTarget{Which});
    this->release(Which, W, C);
  } else {
    this->forget(Which, W, C);
  }
  this->ByRequest.erase(Found);
  this->Works.erase(Which);
  if (OwnedSlice *Slice = this->findSlice(Ref))
    this->reportIfDrained(Ref, *Slice, C);
  this->pump(C);
}

} // namespace orioledoor::requests::internal

#endif // ORIOLEDOOR_REQUESTS_INTERNAL_OWNER_CALLS_H
