// Member functions of EntrySide. Included by entry_side.h only.
#ifndef ORIOLEDOOR_REQUESTS_INTERNAL_ENTRY_TRIES_H
#define ORIOLEDOOR_REQUESTS_INTERNAL_ENTRY_TRIES_H

#include "orioledoor/requests/internal/entry_side.h"

namespace orioledoor::requests::internal {

template <ownership::RoutingView Routing>
void EntrySide<Routing>::receive(CallerRequest Event, const Ctx &C) {
  Id RecordId = ++this->LastId;
  PendingRequest &Record = this->PendingRequests[RecordId];
  Record.CallerId = Event.CallerId;
  Record.ArrivedAt = C.Now;
  this->RecordByCaller[Record.CallerId] = RecordId;
  std::optional<Refusal> Refused = this->prepare(Record, Event, C);
  if (Refused)
    return this->complete(RecordId, this->makeFailure(*Refused, ""), C);
  this->Timers.push(Record.Deadline, RecordId);
  this->dispatch(RecordId, C);
}

template <ownership::RoutingView Routing>
std::optional<Refusal> EntrySide<Routing>::prepare(PendingRequest &Record,
                                                   CallerRequest &Event,
                                                   const Ctx &C) {
  const HttpRequest &Request = *Event.Request;
  Record.HasCallerOperationId = !Event.OperationId.empty();
  Record.MayBeResend = Record.HasCallerOperationId && Event.Attempt != 1;
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
  Duration ServiceTimeout = Entry->Limits.MaxTimeout;
  Duration Timeout = Event.Timeout > Duration{0}
                         ? std::min(Event.Timeout, ServiceTimeout)
                         : ServiceTimeout;
  Record.Deadline = C.Now + Timeout - Event.Elapsed;
  if (Record.Deadline <= C.Now)
    return Refusal{.Status = 504,
                   .Step = "entry",
                   .Message = "the deadline passed during the upload"};
  Record.Idempotent = isIdempotent(*Entry, Request.Method);
  Record.Attempt = Event.Attempt;
  Record.Age = Event.Age;
  if (Record.Age)
    *Record.Age += Event.Elapsed;
  // While the process was paused, the caller may have timed out on a request
  // that was waiting in a socket, and sent it again to another node.
  if (C.Now < this->PausedUntil) {
    Duration Delay = C.Now - this->PausedAt;
    if (Record.Age)
      *Record.Age += Delay;
    else if (Record.Attempt == 1)
      Record.Age = Delay;
    if (Record.Attempt == 1)
      Record.Attempt = 0;
    Record.MayBeResend = Record.HasCallerOperationId;
  }
  Record.OperationId = std::move(Event.OperationId);
  if (!Record.Idempotent && Record.OperationId.empty()) {
    Record.OperationId = std::to_string(Event.Random) + "-" +
                         std::to_string(this->Shared.Options.Seed) + "-" +
                         std::to_string(++this->GeneratedIds);
    Record.Attempt = 1;
    Record.Age.reset();
  }
  Record.AnyMember = Record.Idempotent && !Entry->DividedByKey;
  std::string_view PlacementKey = Record.Idempotent || Entry->DividedByKey
                                      ? Request.Key
                                      : Record.OperationId;
  Record.Slice = SliceRef{Entry->Id, sliceOf(PlacementKey, Entry->Slices)};
  Record.Digest = crashDigest(Request);
  Record.MaxTries = Entry->Limits.MaxTries;
  if (Event.MaxTries > 0)
    Record.MaxTries = std::min(Record.MaxTries, Event.MaxTries);
  Record.Request = std::move(Event.Request);
  this->Budgets[Entry->Id].deposit(Entry->Limits.RetryRatio);
  return std::nullopt;
}

template <ownership::RoutingView Routing>
std::optional<ownership::Route>
EntrySide<Routing>::selectRoute(const PendingRequest &Record, const Ctx &C) {
  if (!Record.AnyMember)
    return C.Routes.route(Record.Slice);
  ServiceId Service = Record.Slice.Service;
  if (!this->Members.isFresh(Service, C.Now))
    this->Members.update(Service, C.Routes.membersOf(Service), C.Now);
  // Retries also consider other regions, since a whole region may be
  // unavailable.
  const ownership::Route *Chosen = this->Members.choose(
      Service, this->Shared.random(), Record.RetryCount > 0);
  return Chosen ? std::optional(*Chosen) : std::nullopt;
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::dispatch(Id RecordId, const Ctx &C) {
  PendingRequest &Record = this->PendingRequests.at(RecordId);
  Record.RetryAt.reset();
  if (auto Refused =
          refusalFor(this->Shared.Crashes.stateOf(Record.Digest, C.Now)))
    return this->complete(RecordId, this->makeFailure(*Refused, ""), C);
  std::optional<ownership::Route> Next = this->selectRoute(Record, C);
  if (!Next)
    return this->waitForOwner(
        RecordId,
        this->makeFailure({.Status = 503,
                           .Step = "route",
                           .Message = "the slice has no owner"},
                          ""),
        C);
  ++Record.Tries;
  Record.OpenTry = ++this->LastRequestId;
  Record.Member = Next->Owner;
  Record.Peer = Next->Local ? this->Shared.Options.PeerAddress : Next->Address;
  this->OpenTries[Record.OpenTry] = RecordId;
  this->Members.tryStarted(Record.Member);
  Forward Message;
  Message.EntryId = this->Shared.Options.Seed;
  Message.RequestId = Record.OpenTry;
  Message.ReplyTo = this->Shared.Options.PeerAddress;
  Message.Slice = Record.Slice;
  Message.Request = Record.Request;
  Message.OperationId = Record.OperationId;
  Message.Attempt = Record.Attempt;
  if (Record.Age)
    Message.Age = *Record.Age + (C.Now - Record.ArrivedAt);
  Message.Digest = Record.Digest;
  Message.Remaining = Record.Deadline - C.Now;
  if (HistoryCache::KnownHistory Known = this->Histories.find(Record.Slice);
      Known.History != 0) {
    Message.History = Known.History;
    Message.HistoryAge = C.Now - Known.Start;
  }
  if (Next->Local)
    this->Shared.LocalMessages.emplace_back(std::move(Message));
  else
    C.Output.push_back(SendPeer{std::move(Next->Address), std::move(Message)});
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::handleAnswer(Answer Reply, const Ctx &C) {
  if (Reply.EntryId != this->Shared.Options.Seed)
    return;
  auto Found = this->OpenTries.find(Reply.RequestId);
  if (Found == this->OpenTries.end())
    return;
  Id RecordId = Found->second;
  PendingRequest &Record = this->PendingRequests.at(RecordId);
  if (Reply.History != 0 && !Record.AnyMember)
    this->Histories.update(Record.Slice, Reply.History, Reply.HistoryAge,
                           C.Now);
  this->closeTry(Record);
  if (Reply.Result == Outcome::Unknown)
    Record.MayHaveRun = true;
  bool SafeToRetry = Record.Idempotent || Reply.Result == Outcome::NotRun;
  if (Reply.Result == Outcome::Ran || !SafeToRetry ||
      Reply.Retry == RetryAdvice::None)
    return this->complete(RecordId, std::move(Reply), C);
  if (Reply.Retry == RetryAdvice::Counted)
    return this->retryWithinBudget(RecordId, std::move(Reply), C);
  // No target was involved, so the try is not counted.
  --Record.Tries;
  if (Reply.Retry == RetryAdvice::HistoryChanged &&
      ++Record.HistoryChanges <= MaxHistoryChanges)
    return this->dispatch(RecordId, C);
  this->waitForOwner(RecordId, std::move(Reply), C);
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::waitForOwner(Id RecordId, Answer Failure,
                                      const Ctx &C) {
  PendingRequest &Record = this->PendingRequests.at(RecordId);
  if (!Record.WaitingSince)
    Record.WaitingSince = C.Now;
  if (C.Now - *Record.WaitingSince >= MaxOwnerWait) {
    Failure.Response.Headers.push_back(Header{"Retry-After", "1"});
    return this->complete(RecordId, std::move(Failure), C);
  }
  Record.LastFailure = std::move(Failure);
  this->scheduleRetry(RecordId, C);
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::retryWithinBudget(Id RecordId, Answer Failure,
                                           const Ctx &C) {
  PendingRequest &Record = this->PendingRequests.at(RecordId);
  Record.WaitingSince.reset();
  if (Record.Tries >= Record.MaxTries ||
      !this->Budgets[Record.Slice.Service].withdraw(C.Now))
    return this->complete(RecordId, std::move(Failure), C);
  Record.LastFailure = std::move(Failure);
  this->scheduleRetry(RecordId, C);
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::scheduleRetry(Id RecordId, const Ctx &C) {
  PendingRequest &Record = this->PendingRequests.at(RecordId);
  Instant At = C.Now + backoffDelay(Record.RetryCount++, this->Shared.random());
  if (At >= Record.Deadline)
    return this->complete(RecordId, std::move(Record.LastFailure), C);
  Record.RetryAt = At;
  this->Timers.push(At, RecordId);
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::closeTry(PendingRequest &Record) {
  if (Record.OpenTry == 0)
    return;
  this->OpenTries.erase(Record.OpenTry);
  this->Members.tryEnded(Record.Member);
  Record.OpenTry = 0;
  Record.AnswerGraceEnd.reset();
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::sendCancel(const PendingRequest &Record,
                                    const Ctx &C) {
  Cancel Message{this->Shared.Options.Seed, Record.OpenTry};
  if (Record.Peer == this->Shared.Options.PeerAddress)
    this->Shared.LocalMessages.emplace_back(Message);
  else
    C.Output.push_back(SendPeer{Record.Peer, Message});
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::complete(Id RecordId, Answer Reply, const Ctx &C) {
  auto Node = this->PendingRequests.extract(RecordId);
  PendingRequest &Record = Node.mapped();
  if (Record.OpenTry != 0) {
    Record.MayHaveRun = true;
    this->sendCancel(Record, C);
    this->closeTry(Record);
  }
  this->RecordByCaller.erase(Record.CallerId);
  Outcome Result = Reply.Result;
  if (Result == Outcome::NotRun && (Record.MayHaveRun || Record.MayBeResend))
    Result = Outcome::Unknown;
  C.Output.push_back(
      ReplyCaller{Record.CallerId, makeCallerAnswer(std::move(Reply), Result)});
}

template <ownership::RoutingView Routing>
Answer EntrySide<Routing>::makeFailure(const Refusal &Reason,
                                       std::string Peer) const {
  Answer Reply = makeRefusalAnswer(Forward{}, Reason);
  Reply.Peer = std::move(Peer);
  return Reply;
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::handleCallerDisconnect(std::uint64_t CallerId,
                                                const Ctx &C) {
  auto Found = this->RecordByCaller.find(CallerId);
  if (Found == this->RecordByCaller.end())
    return;
  auto Node = this->PendingRequests.extract(Found->second);
  this->RecordByCaller.erase(Found);
  if (PendingRequest &Record = Node.mapped(); Record.OpenTry != 0) {
    this->sendCancel(Record, C);
    this->closeTry(Record);
  }
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::handleSendFailure(const PeerSendFailed &Event,
                                           const Ctx &C) {
  auto Found = this->OpenTries.find(Event.RequestId);
  if (Event.EntryId != this->Shared.Options.Seed ||
      Found == this->OpenTries.end())
    return;
  Id RecordId = Found->second;
  PendingRequest &Record = this->PendingRequests.at(RecordId);
  this->closeTry(Record);
  --Record.Tries;
  this->waitForOwner(RecordId,
                     this->makeFailure({.Status = 503,
                                        .Step = "forward",
                                        .Message = "the owner is unreachable"},
                                       Event.To),
                     C);
}

template <ownership::RoutingView Routing>
void EntrySide<Routing>::handlePeerLoss(const std::string &Address,
                                        const Ctx &C) {
  std::set<Id> Affected;
  for (const auto &[RequestId, RecordId] : this->OpenTries)
    if (this->PendingRequests.at(RecordId).Peer == Address)
      Affected.insert(RecordId);
  if (Affected.empty())
    return;
  C.Output.push_back(WriteLog{LogRecord{
      &events::PeerUnreachable,
      {{"peer", Address}, {"requests", std::to_string(Affected.size())}}}});
  for (Id RecordId : Affected) {
    PendingRequest &Record = this->PendingRequests.at(RecordId);
    Record.MayHaveRun = true;
    if (!Record.Idempotent) {
      Record.AnswerGraceEnd = C.Now + AnswerGrace;
      this->Timers.push(*Record.AnswerGraceEnd, RecordId);
      continue;
    }
    this->closeTry(Record);
    this->retryWithinBudget(
        RecordId,
        this->makeFailure({.Status = 503,
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
    this->PausedUntil = C.Now + PauseCatchUpTime;
  }
  this->LastEventAt = C.Now;
  while (std::optional<Id> Due = this->Timers.popDue(C.Now)) {
    auto Found = this->PendingRequests.find(*Due);
    if (Found == this->PendingRequests.end())
      continue;
    PendingRequest &Record = Found->second;
    if (Record.Deadline <= C.Now) {
      bool Open = Record.OpenTry != 0;
      // After a pause the caller may have sent the operation to another node.
      if (C.Now - Record.Deadline > PauseGap)
        Record.MayBeResend = Record.HasCallerOperationId;
      this->complete(*Due,
                     this->makeFailure(
                         {.Status = 504,
                          .Result = Open ? Outcome::Unknown : Outcome::NotRun,
                          .Step = Open ? "forward" : "route",
                          .Message = "the deadline passed"},
                         Record.Peer),
                     C);
    } else if (Record.AnswerGraceEnd && *Record.AnswerGraceEnd <= C.Now) {
      this->complete(
          *Due,
          this->makeFailure({.Status = 503,
                             .Result = Outcome::Unknown,
                             .Step = "forward",
                             .Message = "the connection to the owner was lost"},
                            Record.Peer),
          C);
    } else if (Record.RetryAt && *Record.RetryAt <= C.Now) {
      this->dispatch(*Due, C);
    }
  }
}

template <ownership::RoutingView Routing> void EntrySide<Routing>::tick() {
  this->Timers.compact(this->PendingRequests.size(), [this](Id RecordId) {
    return this->PendingRequests.contains(RecordId);
  });
}

} // namespace orioledoor::requests::internal

#endif // ORIOLEDOOR_REQUESTS_INTERNAL_ENTRY_TRIES_H
