// Bodies of EntrySide. Included by entry_side.h only.
#ifndef ORIOLEDOOR_REQUESTS_INTERNAL_ENTRY_TRIES_H
#define ORIOLEDOOR_REQUESTS_INTERNAL_ENTRY_TRIES_H

#include "orioledoor/requests/internal/entry_side.h"

namespace orioledoor::requests::internal {

template <ownership::RoutingView Routing>
void EntrySide<Routing>::receive(CallerRequest Event, const Ctx &C) {
  Id Which = ++this->LastId;
  PendingRequest &P = this->Pending[Which];
  P.CallerId = Event.CallerId;
  P.ArrivedAt = C.Now;
  this->ByCaller[P.CallerId] = Which;
  std::optional<Refusal> Refused = this->prepare(P, Event, C);
  if (Refused)
    return this->settle(Which, this->failure(*Refused, ""), C);
  this->Timers.push(P.Deadline, Which);
  this->dispatch(Which, C);
}

template <ownership::RoutingView Routing>
std::optional<Refusal> EntrySide<Routing>::prepare(PendingRequest &P,
                                                   CallerRequest &Event,
                                                   const Ctx &C) {
  const HttpRequest &Request = *Event.Request;
  P.Named = !Event.OperationId.empty();
  P.MaybeResend = P.Named && Event.Attempt != 1;
  const ServiceEntry *Entry = this->Shared.Services.find(Request.Service);
  if (!Entry)
    return Refusal{.Status = 404,
                   .Step = "catalogue",
                   .Message = "the catalogue has no such service"};
  if (Request.Key.empty())
    return Refusal{
        .Status = 400, .Step = "entry", .Message = "the request has no key"};
  if (Request.Body.size() > Entry->Limits.MaxBodyBytes)
    return Refusal{.Status = 413,
                   .Step = "entry",
                   .Message = "the body is larger than the service allows"};
  Duration Longest = Entry->Limits.MaxTimeout;
  Duration Timeout =
      Event.Timeout > Duration{0} ? std::min(Event.Timeout, Longest) : Longest;
  P.Deadline = C.Now + Timeout - Event.Elapsed;
  if (P.Deadline <= C.Now)
    return Refusal{.Status = 504,
                   .Step = "entry",
                   .Message = "the deadline passed during the upload"};
  P.Idempotent = isIdempotent(*Entry, Request.Method);
  P.Attempt = Event.Attempt;
  P.Age = Event.Age;
  if (P.Age)
    *P.Age += Event.Elapsed;
  // While the process was paused, the caller may have given up on a request
  // that lay in a socket and sent it again elsewhere.
  if (C.Now < this->PausedUntil) {
    Duration Delay = C.Now - this->PausedAt;
    if (P.Age)
      *P.Age += Delay;
    else if (P.Attempt == 1)
      P.Age = Delay;
    if (P.Attempt == 1)
      P.Attempt = 0;
    P.MaybeResend = P.Named;
  }
  P.OperationId = std::move(Event.OperationId);
  if (!P.Idempotent && P.OperationId.empty()) {
    P.OperationId = std::to_string(Event.Random) + "-" +
                    std::to_string(this->Shared.Options.Seed) + "-" +
                    std::to_string(++this->GeneratedIds);
    P.Attempt = 1;
    P.Age.reset();
  }
  P.AnyMember = P.Idempotent && !Entry->DividedByKey;
  std::string_view Placed =
      P.Idempotent || Entry->DividedByKey ? Request.Key : P.OperationId;
  P.Slice = SliceRef{Entry->Id, sliceOf(Placed, Entry->Slices)};
  P.Digest = crashDigest(Request);
  P.MaxTries = Entry->Limits.MaxTries;
  if (Event.MaxTries > 0)
    P.MaxTries = std::min(P.MaxTries, Event.MaxTries);
  P.Request = std::move(Event.Request);
  this->Budgets[Entry->Id].deposit(Entry->Limits.RetryRatio);
  return std::nullopt;
}

template <ownership::RoutingView Routing>
std::optional<ownership::Route>
EntrySide<Routing>::routeOf(const PendingRequest &P, const Ctx &C) {
  if (!P.AnyMember)
    return C.Routes.route(P.Slice);
  ServiceId Service = P.Slice.Service;
  if (!this->Members.isFresh(Service, C.Now))
    this->Members.note(Service, C.Routes.membersOf(Service), C.Now);
  // A retry looks outside the region as well, where a whole region may fail.
  const ownership::Route *Chosen =
      this->Members.choose(Service, this->Shared.random(), P.Backoffs > 0);
  return Chosen ? std::optional(*Chosen) : std::nullopt;
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::dispatch(Id Which, const Ctx &C) {
  PendingRequest &P = this->Pending.at(Which);
  P.RetryAt.reset();
  if (auto Refused = refusalOf(this->Shared.Crashes.judge(P.Digest, C.Now)))
    return this->settle(Which, this->failure(*Refused, ""), C);
  std::optional<ownership::Route> Next = this->routeOf(P, C);
  if (!Next)
    return this->waitForOwner(
        Which,
        this->failure({.Status = 503,
                       .Step = "route",
                       .Message = "the slice has no owner"},
                      ""),
        C);
  ++P.Tries;
  P.OpenTry = ++this->LastRequestId;
  P.Member = Next->Owner;
  P.Peer = Next->Local ? this->Shared.Options.PeerAddress : Next->Address;
  this->Tries[P.OpenTry] = Which;
  this->Members.started(P.Member);
  Forward F;
  F.EntryId = this->Shared.Options.Seed;
  F.RequestId = P.OpenTry;
  F.ReplyTo = this->Shared.Options.PeerAddress;
  F.Slice = P.Slice;
  F.Request = P.Request;
  F.OperationId = P.OperationId;
  F.Attempt = P.Attempt;
  if (P.Age)
    F.Age = *P.Age + (C.Now - P.ArrivedAt);
  F.Digest = P.Digest;
  F.Remaining = P.Deadline - C.Now;
  if (HistoryCache::Known Known = this->Histories.find(P.Slice);
      Known.History != 0) {
    F.History = Known.History;
    F.HistoryAge = C.Now - Known.Start;
  }
  if (Next->Local)
    this->Shared.ToSelf.emplace_back(std::move(F));
  else
    C.Output.push_back(SendPeer{std::move(Next->Address), std::move(F)});
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::answered(Answer Ended, const Ctx &C) {
  if (Ended.EntryId != this->Shared.Options.Seed)
    return;
  auto Found = this->Tries.find(Ended.RequestId);
  if (Found == this->Tries.end())
    return;
  Id Which = Found->second;
  PendingRequest &P = this->Pending.at(Which);
  if (Ended.History != 0 && !P.AnyMember)
    this->Histories.note(P.Slice, Ended.History, Ended.HistoryAge, C.Now);
  this->closeTry(P);
  if (Ended.Result == Outcome::Unknown)
    P.MayHaveRun = true;
  bool Safe = P.Idempotent || Ended.Result == Outcome::NotRun;
  if (Ended.Result == Outcome::Ran || !Safe || Ended.Retry == RetryAdvice::None)
    return this->settle(Which, std::move(Ended), C);
  if (Ended.Retry == RetryAdvice::Counted)
    return this->retryCounted(Which, std::move(Ended), C);
  // No target was involved, so the try does not count.
  --P.Tries;
  if (Ended.Retry == RetryAdvice::HistoryChanged &&
      ++P.HistoryChanges <= MaxHistoryChanges)
    return this->dispatch(Which, C);
  this->waitForOwner(Which, std::move(Ended), C);
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::waitForOwner(Id Which, Answer Failure, const Ctx &C) {
  PendingRequest &P = this->Pending.at(Which);
  if (!P.WaitingSince)
    P.WaitingSince = C.Now;
  if (C.Now - *P.WaitingSince >= MaxOwnerWait) {
    Failure.Answered.Headers.push_back(Header{"Retry-After", "1"});
    return this->settle(Which, std::move(Failure), C);
  }
  P.LastFailure = std::move(Failure);
  this->schedule(Which, C);
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::retryCounted(Id Which, Answer Failure, const Ctx &C) {
  PendingRequest &P = this->Pending.at(Which);
  P.WaitingSince.reset();
  if (P.Tries >= P.MaxTries || !this->Budgets[P.Slice.Service].withdraw(C.Now))
    return this->settle(Which, std::move(Failure), C);
  P.LastFailure = std::move(Failure);
  this->schedule(Which, C);
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::schedule(Id Which, const Ctx &C) {
  PendingRequest &P = this->Pending.at(Which);
  Instant At = C.Now + backoffDelay(P.Backoffs++, this->Shared.random());
  if (At >= P.Deadline)
    return this->settle(Which, std::move(P.LastFailure), C);
  P.RetryAt = At;
  this->Timers.push(At, Which);
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::closeTry(PendingRequest &P) {
  if (P.OpenTry == 0)
    return;
  this->Tries.erase(P.OpenTry);
  this->Members.ended(P.Member);
  P.OpenTry = 0;
  P.GraceUntil.reset();
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::sendCancel(const PendingRequest &P, const Ctx &C) {
  Cancel Message{this->Shared.Options.Seed, P.OpenTry};
  if (P.Peer == this->Shared.Options.PeerAddress)
    this->Shared.ToSelf.emplace_back(Message);
  else
    C.Output.push_back(SendPeer{P.Peer, Message});
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::settle(Id Which, Answer Ended, const Ctx &C) {
  auto Node = this->Pending.extract(Which);
  PendingRequest &P = Node.mapped();
  if (P.OpenTry != 0) {
    P.MayHaveRun = true;
    this->sendCancel(P, C);
    this->closeTry(P);
  }
  this->ByCaller.erase(P.CallerId);
  Outcome Result = Ended.Result;
  if (Result == Outcome::NotRun && (P.MayHaveRun || P.MaybeResend))
    Result = Outcome::Unknown;
  C.Output.push_back(
      ReplyCaller{P.CallerId, completeAnswer(std::move(Ended), Result)});
}

template <ownership::RoutingView Routing>
Answer EntrySide<Routing>::failure(const Refusal &Why, std::string Peer) const {
  Answer Ended = answerRefusal(Forward{}, Why);
  Ended.Peer = std::move(Peer);
  return Ended;
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::callerGone(std::uint64_t CallerId, const Ctx &C) {
  auto Found = this->ByCaller.find(CallerId);
  if (Found == this->ByCaller.end())
    return;
  auto Node = this->Pending.extract(Found->second);
  this->ByCaller.erase(Found);
  if (PendingRequest &P = Node.mapped(); P.OpenTry != 0) {
    this->sendCancel(P, C);
    this->closeTry(P);
  }
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::sendFailed(const PeerSendFailed &Event, const Ctx &C) {
  auto Found = this->Tries.find(Event.RequestId);
  if (Event.EntryId != this->Shared.Options.Seed || Found == this->Tries.end())
    return;
  Id Which = Found->second;
  PendingRequest &P = this->Pending.at(Which);
  this->closeTry(P);
  --P.Tries;
  this->waitForOwner(Which,
                     this->failure({.Status = 503,
                                    .Step = "forward",
                                    .Message = "the owner is unreachable"},
                                   Event.To),
                     C);
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::peerLost(const std::string &Address, const Ctx &C) {
  std::set<Id> Affected;
  for (const auto &[RequestId, Which] : this->Tries)
    if (this->Pending.at(Which).Peer == Address)
      Affected.insert(Which);
  if (Affected.empty())
    return;
  C.Output.push_back(WriteLog{LogRecord{
      &events::PeerUnreachable,
      {{"peer", Address}, {"requests", std::to_string(Affected.size())}}}});
  for (Id Which : Affected) {
    PendingRequest &P = this->Pending.at(Which);
    P.MayHaveRun = true;
    if (!P.Idempotent) {
      P.GraceUntil = C.Now + AnswerGrace;
      this->Timers.push(*P.GraceUntil, Which);
      continue;
    }
    this->closeTry(P);
    this->retryCounted(
        Which,
        this->failure({.Status = 503,
                       .Result = Outcome::Unknown,
                       .Step = "forward",
                       .Message = "the connection to the owner was lost"},
                      Address),
        C);
  }
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::runTimers(const Ctx &C) {
  if (C.Now - this->LastEventAt > PauseGap && this->LastEventAt != Instant()) {
    this->PausedAt = this->LastEventAt;
    this->PausedUntil = C.Now + AfterPause;
  }
  this->LastEventAt = C.Now;
  while (std::optional<Id> Due = this->Timers.popDue(C.Now)) {
    auto Found = this->Pending.find(*Due);
    if (Found == this->Pending.end())
      continue;
    PendingRequest &P = Found->second;
    if (P.Deadline <= C.Now) {
      bool Open = P.OpenTry != 0;
      // After a pause the caller may have sent the operation elsewhere.
      if (C.Now - P.Deadline > PauseGap)
        P.MaybeResend = P.Named;
      this->settle(
          *Due,
          this->failure({.Status = 504,
                         .Result = Open ? Outcome::Unknown : Outcome::NotRun,
                         .Step = Open ? "forward" : "route",
                         .Message = "the deadline passed"},
                        P.Peer),
          C);
    } else if (P.GraceUntil && *P.GraceUntil <= C.Now) {
      this->settle(
          *Due,
          this->failure({.Status = 503,
                         .Result = Outcome::Unknown,
                         .Step = "forward",
                         .Message = "the connection to the owner was lost"},
                        P.Peer),
          C);
    } else if (P.RetryAt && *P.RetryAt <= C.Now) {
      this->dispatch(*Due, C);
    }
  }
}

template <ownership::RoutingView Routing> void EntrySide<Routing>::tick() {
  this->Timers.compact(this->Pending.size(), [this](Id Which) {
    return this->Pending.contains(Which);
  });
}

} // namespace orioledoor::requests::internal

#endif // ORIOLEDOOR_REQUESTS_INTERNAL_ENTRY_TRIES_H
