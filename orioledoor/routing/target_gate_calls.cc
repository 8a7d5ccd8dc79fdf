// Admission of forwarded requests, transfer of their bodies, and their results.
#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "orioledoor/routing/events.h"
#include "orioledoor/routing/internal/answer_margin.h"
#include "orioledoor/routing/internal/log_text.h"
#include "orioledoor/routing/target_gate.h"

namespace orioledoor::routing {
namespace {

using internal::AnswerMargin;
using internal::field;
using internal::millis;
using std::chrono::milliseconds;

// A request with less time left is not started.
constexpr Duration MinTimeLeft = milliseconds(10);
// A request is admitted if it meets its latency target even when it takes this
// percentage of the mean service time. Most requests take less. With 100
// percent, half of the requests admitted at the limit would be late.
constexpr int SlowRequestPercent = 140;
// The same for the answers that wait for the link before that of a new request.
constexpr int SlowAnswersPercent = 140;
// Time for the answer to reach the caller from here, across regions.
constexpr Duration ReturnTime = milliseconds(15);
// A request that can no longer meet its latency target waits for at most the
// service time divided by this number, because the slot that it takes makes
// another request late.
constexpr int LateWaitDivisor = 4;
constexpr Duration DefaultServiceTime = milliseconds(100);
// Minimum Retry-After of a busy target. A caller that is refused because it
// would be late is also late when it retries; one second lets the load fall and
// lets owners of hot keys transfer some of them.
constexpr Duration BusyRetryAfter = milliseconds(1000);
// Time after which a requested body is considered lost. It exceeds the time
// that a transfer can take on a connection that is still alive.
constexpr Duration FetchTimeout = milliseconds(3500);
// Time for FetchBody and its reply to travel across regions.
constexpr Duration FetchRoundTrip = milliseconds(30);
// Weight of a new outcome in the failure share; about the last 30 calls count.
constexpr float FailureWeight = 0.033F;
// Calls that run at once at a target whose limit is not known yet, and the time
// without an answer after which one more may run: the first ones may be slow or
// lost. All slots are in use after three to five seconds.
constexpr std::uint32_t InitialProbes = 2;
constexpr Duration ProbeInterval = milliseconds(250);

std::string_view outcomeName(Outcome Reason) {
  switch (Reason) {
  case Outcome::Answered:
    return "answered";
  case Outcome::Busy:
    return "busy";
  case Outcome::NoTarget:
    return "no-target";
  case Outcome::NotOwner:
    return "not-owner";
  case Outcome::Refused:
    return "refused";
  case Outcome::Expired:
    return "expired";
  case Outcome::Quarantined:
    return "quarantined";
  case Outcome::Lost:
    return "lost";
  case Outcome::CallsOverBudget:
    return "calls-over-budget";
  }
  return "unknown";
}

} // namespace

std::optional<Outcome> TargetGate::checkAdmission(const Forward &Request,
                                                  KeyState Key,
                                                  std::uint64_t Digest,
                                                  Instant Now) const {
  if (this->Closed || this->State == TargetState::Absent || this->Drained ||
      Request.Service != this->Report.Service)
    return Outcome::NoTarget;
  // Requests without a key go to other targets of the service.
  if (this->State == TargetState::Leaving && Key == KeyState::NotKeyed &&
      !Request.LastChoice)
    return Outcome::NoTarget;
  if (Key == KeyState::NotHeld)
    return Outcome::NotOwner;
  // After the check of the key: the entry node of a key that has moved away
  // looks for its new owner.
  if (this->checkPlacement(Request, Now) != PlacementVerdict::Allowed)
    return Outcome::NoTarget;
  if (Request.TimeLeft < MinTimeLeft)
    return Outcome::Expired;
  if (this->Crashes.isQuarantined(Digest, Now))
    return Outcome::Quarantined;
  if (Request.RepeatPercent == SurelyRepeated && !this->RepeatsAllowed)
    return Outcome::CallsOverBudget;
  return std::nullopt;
}

void TargetGate::refuse(const std::string &From, const Forward &Request,
                        Outcome Reason, Duration RetryAfter, Instant Now,
                        Effects &Out, std::string_view Detail) {
  Out.push_back(
      LogRecord{&events::CallRefused,
                {field("request", Request.AttemptId), field("from", From),
                 field("why", std::string(outcomeName(Reason))),
                 field("detail", std::string(Detail)),
                 field("instance", this->Target.Instance),
                 field("running", std::to_string(this->Queue.running())),
                 field("waiting", std::to_string(this->Queue.waiting())),
                 field("priority", std::to_string(Request.Priority)),
                 field("time_left_ms", millis(Request.TimeLeft)),
                 field("latency_left_ms", millis(Request.LatencyLeft)),
                 field("retry_after_ms", millis(RetryAfter))}});
  ForwardResult Result{
      .Id = Request.Id, .Process = Request.Process, .Code = Reason};
  Result.RetryAfter = RetryAfter;
  if (Request.Key != NoKey) {
    this->noteKeyDemand(Request, Reason == Outcome::Busy, Now, Out);
    Result.KeyShare = this->HotKeys.shareOf(Request.Key, Now);
  }
  Result.OfRunningWork =
      this->Profile.isCallOfRunningWork(Request.RequestClass);
  Result.Status = this->status(Now);
  Out.push_back(SendMessage{From, std::move(Result)});
}

Duration TargetGate::expectedServiceTime(RequestClassId RequestClass,
                                         Instant Now) const {
  if (Duration Measured = this->ServiceTimes.meanOf(RequestClass, Now);
      Measured.count() > 0)
    return this->Slowdown.atPresent(Measured, Now);
  return this->Queue.serviceTime().count() > 0 ? this->Queue.serviceTime()
                                               : DefaultServiceTime;
}

void TargetGate::handleForward(const std::string &From, Forward Request,
                               KeyState Key, Instant Now, Effects &Out,
                               Duration Delay) {
  if (this->DroppedOnArrival.contains({Request.Process, Request.Id}))
    return;
  // A longer delay may be an error of the clocks; the confirmation states the
  // time that is left.
  if (!needsConfirmation(Delay)) {
    Request.TimeLeft -= Delay;
    Request.LatencyLeft -= Delay;
  }
  bool OfRunningWork = this->noteCaller(Request, Out);
  bool Withheld = Request.WithheldBytes > 0;
  std::uint64_t Digest =
      Withheld ? 0 : crashDigest(Request.CallerService, *Request.Content);
  if (auto Reason = this->checkAdmission(Request, Key, Digest, Now)) {
    if (*Reason == Outcome::NoTarget)
      this->notePlacementRefusal(From, Request, Now, Out);
    if (*Reason == Outcome::CallsOverBudget)
      ++this->RefusedRepeats;
    this->refuse(From, Request, *Reason, Duration(0), Now, Out);
    return;
  }
  Duration ServiceTime = this->expectedServiceTime(Request.RequestClass, Now);
  // Requests that can no longer meet their latency target are queued behind
  // those that can.
  bool MeetsLatency = Request.LatencyLeft > ServiceTime;
  QueueRank Rank{Request.Priority,
                 Now + (MeetsLatency ? Request.LatencyLeft : Request.TimeLeft),
                 OfRunningWork};
  Duration ExpectedWait = this->expectedWait(Rank, Now);
  Duration Transfer(0);
  if (Withheld) {
    ExpectedWait = std::max(ExpectedWait, this->BodyFetches.expectedWait());
    Transfer =
        this->BodyFetches.transferTime(Request.WithheldBytes) + FetchRoundTrip;
  }
  // A call of running work that is refused makes its parent request fail, whose
  // slot was then held for nothing; one that is late does not.
  Duration WaitLimit = OfRunningWork ? Request.TimeLeft : Request.LatencyLeft;
  Duration MaxWait =
      std::max(WaitLimit - Transfer - ServiceTime * SlowRequestPercent / 100 -
                   ReturnTime,
               std::min(ServiceTime / LateWaitDivisor,
                        Request.TimeLeft - Transfer - ServiceTime));
  if (!Request.LastChoice)
    MaxWait = std::min(MaxWait, Request.MaxUsefulWait);
  if (ExpectedWait > MaxWait && ExpectedWait > Duration(0)) {
    this->refuse(From, Request, Outcome::Busy,
                 std::max(ExpectedWait, BusyRetryAfter), Now, Out);
    return;
  }
  std::uint64_t AnswerBytes = this->expectedAnswerBytes(From, Request);
  Duration LinkWait =
      AnswerBytes > 0 ? this->Link.expectedWait(AnswerBytes, Request.Priority,
                                                ExpectedWait + ServiceTime, Now)
                      : Duration(0);
  // An answer that would be late is allowed the same wait as a request that
  // would be late: it holds up other answers.
  Duration MaxLinkWait =
      std::max(Request.LatencyLeft - ServiceTime -
                   this->Link.transferTime(AnswerBytes) - ReturnTime,
               ServiceTime / LateWaitDivisor);
  // The answers ahead may be larger than the mean. Without this margin, 23 % of
  // the answers of 0 to 540 KB (90 KB in the mean) missed their latency target;
  // with it 6 % do, and the link is as busy.
  if (LinkWait * SlowAnswersPercent / 100 > MaxLinkWait) {
    ++this->RefusedForLink;
    this->refuse(From, Request, Outcome::Busy,
                 std::max(LinkWait, BusyRetryAfter), Now, Out,
                 "the answer would wait too long for the link");
    return;
  }
  if (!this->hasMemoryFor(AnswerBytes)) {
    ++this->RefusedForMemory;
    this->refuse(From, Request, Outcome::Busy,
                 std::max(LinkWait, BusyRetryAfter), Now, Out,
                 "no memory for the answer");
    return;
  }
  if (Request.Key != NoKey)
    this->noteKeyDemand(Request, false, Now, Out);
  std::uint64_t Id = this->NextCallId++;
  if (From != this->Options.Node)
    this->Link.reserve(Id, Request.Priority, AnswerBytes);
  ForwardedCall &Added = this->Calls[Id];
  Added.From = From;
  Added.ReceivedAt = Now;
  Added.Deadline = deadlineFor(Request.TimeLeft, Now);
  Added.Rank = Rank;
  Added.StartBy = Now + std::max(MaxWait, Duration(0));
  Added.Digest = Digest;
  Added.Request = std::move(Request);
  this->CallIdByForward[{Added.Request.Process, Added.Request.Id}] = Id;
  if (needsConfirmation(Delay))
    this->confirm(Id, Now, Out);
  else if (Withheld)
    this->awaitBody(Id, Now, Out);
  else
    this->admit(Id, Now, Out);
}

void TargetGate::noteKeyDemand(const Forward &Request, bool Refused,
                               Instant Now, Effects &Out) {
  std::size_t Before = this->HotKeys.hotKeys();
  this->HotKeys.note(Request.Key, Request.KeyDemand, Refused, Now);
  std::size_t After = this->HotKeys.hotKeys();
  if ((Before == 0) == (After == 0))
    return;
  Out.push_back(
      LogRecord{After > 0 ? &events::KeysHot : &events::KeysNotHot,
                {field("instance", this->Target.Instance),
                 field("keys", std::to_string(After)),
                 field("key", std::to_string(Request.Key)),
                 field("running", std::to_string(this->Queue.running())),
                 field("waiting", std::to_string(this->Queue.waiting()))}});
}

bool TargetGate::noteCaller(const Forward &Request, Effects &Out) {
  bool Before = this->Profile.isCallOfRunningWork(Request.RequestClass);
  this->Profile.note(Request.RequestClass, Request.CallerService);
  bool After = this->Profile.isCallOfRunningWork(Request.RequestClass);
  if (Before != After)
    Out.push_back(
        LogRecord{&events::CallsRecognized,
                  {field("class", std::to_string(Request.RequestClass)),
                   field("caller_service", Request.CallerService),
                   field("calls", After ? "yes" : "no"),
                   field("example", Request.Content->Target)}});
  return After;
}

Instant TargetGate::deadlineFor(Duration TimeLeft, Instant Now) {
  return Now + TimeLeft - AnswerMargin;
}

void TargetGate::awaitBody(std::uint64_t Id, Instant Now, Effects &Out) {
  ForwardedCall &Call = this->Calls.at(Id);
  Call.Fetching = true;
  this->BodyFetches.push(Id, Call.Request.WithheldBytes, Call.StartBy);
  this->fetchBodies(Now, Out);
}

void TargetGate::admit(std::uint64_t Id, Instant Now, Effects &Out) {
  if (this->mayStart(Now) && this->Queue.tryStart()) {
    this->startCall(Id, Now, Out);
    return;
  }
  const ForwardedCall &Call = this->Calls.at(Id);
  this->Queue.push({.Id = Id, .Rank = Call.Rank, .StartBy = Call.StartBy});
  // If all waiting requests are overdue, a slot may be free although the queue
  // is not empty.
  this->startQueuedCalls(Now, Out);
}

void TargetGate::fetchBodies(Instant Now, Effects &Out) {
  while (auto Id = this->BodyFetches.popNext(Now)) {
    ForwardedCall &Call = this->Calls.at(*Id);
    Call.FetchedAt = Now;
    Out.push_back(SendMessage{
        Call.From, FetchBody{Call.Request.Id, Call.Request.Process}});
  }
}

void TargetGate::handleBody(ForwardBody Received, Instant Now, Effects &Out,
                            Duration Delay) {
  auto Found = this->CallIdByForward.find({Received.Process, Received.Id});
  if (Found == this->CallIdByForward.end())
    return;
  std::uint64_t Id = Found->second;
  ForwardedCall &Call = this->Calls.at(Id);
  if (!Call.Fetching)
    return;
  Call.Fetching = false;
  this->BodyFetches.end(Id);
  auto Content = std::make_shared<RequestContent>(*Call.Request.Content);
  Content->Body = std::move(Received.Body);
  Call.Request.Content = std::move(Content);
  Call.Digest = crashDigest(Call.Request.CallerService, *Call.Request.Content);
  if (needsConfirmation(Delay))
    this->confirm(Id, Now, Out);
  else
    this->admitLate(Id, Now, Out);
  this->fetchBodies(Now, Out);
}

void TargetGate::admitLate(std::uint64_t Id, Instant Now, Effects &Out) {
  ForwardedCall &Call = this->Calls.at(Id);
  Call.Request.TimeLeft = Call.Deadline - Now;
  // The transfer or the confirmation has already been paid for, so allow the
  // request to wait for a slot a little longer.
  Call.StartBy =
      std::max(Call.StartBy,
               Now + this->expectedServiceTime(Call.Request.RequestClass, Now) /
                         LateWaitDivisor);
  // If the key has been transferred in the meantime, the target itself refuses
  // the request.
  if (auto Reason = this->checkAdmission(Call.Request, KeyState::NotKeyed,
                                         Call.Digest, Now))
    this->finishCall(Id, {.Code = *Reason}, Now, Out);
  else
    this->admit(Id, Now, Out);
}

void TargetGate::refuseOverdueCalls(Instant Now, Effects &Out) {
  for (const WaitingRequest &Waiting : this->Queue.takeOverdue(Now)) {
    ForwardResult Result{.Code = Outcome::Busy};
    Result.RetryAfter =
        std::max(this->waitForPace(this->Queue.waiting(), Now), BusyRetryAfter);
    this->finishCall(Waiting.Id, std::move(Result), Now, Out);
  }
  for (std::uint64_t Id : this->BodyFetches.takeOverdue(Now)) {
    ForwardResult Result{.Code = Outcome::Busy};
    Result.RetryAfter =
        std::max(this->BodyFetches.expectedWait(), BusyRetryAfter);
    this->finishCall(Id, std::move(Result), Now, Out);
  }
  if (this->BodyFetches.queuedBytes() == 0)
    return;
  std::vector<std::uint64_t> TimedOut;
  for (const auto &[Id, Call] : this->Calls)
    if (Call.Fetching && Call.FetchedAt != Instant() &&
        Now - Call.FetchedAt > FetchTimeout)
      TimedOut.push_back(Id);
  for (std::uint64_t Id : TimedOut)
    this->finishCall(Id, {.Code = Outcome::NoTarget}, Now, Out);
  this->fetchBodies(Now, Out);
}

std::uint32_t TargetGate::allowedProbes(Instant Now) const {
  Duration Unanswered =
      this->ProbingSince ? Now - *this->ProbingSince : Duration(0);
  return InitialProbes + static_cast<std::uint32_t>(Unanswered / ProbeInterval);
}

bool TargetGate::mayStart(Instant Now) const {
  return this->waitForPace(0, Now) == Duration(0) &&
         this->Evacuation.mayStart(true, Now) &&
         (this->SignalsKnown ||
          this->Queue.running() < this->allowedProbes(Now));
}

Duration TargetGate::expectedWait(const QueueRank &Rank, Instant Now) const {
  return std::max(this->Queue.expectedWait(Rank),
                  this->waitForPace(this->Queue.waitingBefore(Rank), Now));
}

Duration TargetGate::waitForPace(std::size_t Ahead, Instant Now) const {
  Duration Wait = this->Pacer.waitFor(Ahead, Now);
  return this->countsAsCold(Now)
             ? std::max(Wait, this->ColdStarts.waitFor(Ahead, Now))
             : Wait;
}

void TargetGate::startCall(std::uint64_t Id, Instant Now, Effects &Out) {
  ForwardedCall &Call = this->Calls.at(Id);
  Call.Started = true;
  Call.StartedAt = Now;
  Call.Incarnation = this->Incarnation;
  if (!this->ProbingSince)
    this->ProbingSince = Now;
  ++this->StartedCalls;
  this->RunningRepeatPercent += Call.Request.RepeatPercent;
  this->Pacer.noteStart(Now);
  this->ColdStarts.noteStart(this->countsAsCold(Now), Now);
  Out.push_back(StartCall{.CallId = Id,
                          .Instance = this->Target.Instance,
                          .AttemptId = Call.Request.AttemptId,
                          .CallerService = Call.Request.CallerService,
                          .Key = Call.Request.Key,
                          .TimeLeft = Call.Deadline - Now,
                          .Idempotent = Call.Request.Idempotent,
                          .Content = Call.Request.Content});
}

void TargetGate::startQueuedCalls(Instant Now, Effects &Out) {
  if (this->State == TargetState::Absent || this->Drained)
    return;
  while (this->mayStart(Now)) {
    auto Next = this->Queue.popStartable(Now);
    if (!Next)
      return;
    const ForwardedCall &Call = this->Calls.at(Next->Id);
    if (Call.Deadline - Now >= MinTimeLeft) {
      this->startCall(Next->Id, Now, Out);
      continue;
    }
    this->Queue.release();
    this->finishCall(Next->Id, {.Code = Outcome::Expired}, Now, Out);
  }
}

void TargetGate::sendResult(std::uint64_t Id, ForwardResult Result, Instant Now,
                            Effects &Out) {
  this->Link.release(Id);
  auto Found = this->Calls.find(Id);
  ForwardedCall Call = std::move(Found->second);
  this->Calls.erase(Found);
  this->CallIdByForward.erase({Call.Request.Process, Call.Request.Id});
  this->Confirmations.erase(Id);
  if (Call.Fetching)
    this->BodyFetches.end(Id);
  Result.Id = Call.Request.Id;
  Result.Process = Call.Request.Process;
  if (Call.Request.Key != NoKey)
    Result.KeyShare = this->HotKeys.shareOf(Call.Request.Key, Now);
  Result.OfRunningWork =
      this->Profile.isCallOfRunningWork(Call.Request.RequestClass);
  Result.Status = this->status(Now);
  if (Result.Code != Outcome::Answered)
    Out.push_back(LogRecord{
        Result.Code == Outcome::Lost ? &events::CallFailed
                                     : &events::CallRefused,
        {field("request", Call.Request.AttemptId), field("from", Call.From),
         field("why", std::string(outcomeName(Result.Code))),
         field("detail", Result.Detail),
         field("instance", this->Target.Instance),
         field("running", std::to_string(this->Queue.running())),
         field("waiting", std::to_string(this->Queue.waiting()))}});
  if (Call.From != this->Options.Node)
    this->Results.add({Call.Request.Process, Call.Request.Id}, Result, Now);
  Out.push_back(SendMessage{Call.From, std::move(Result)});
}

void TargetGate::handleResume(const std::string &From,
                              const ResumeForward &Resumed, Instant Now,
                              Effects &Out) {
  ForwardKey Key(Resumed.Process, Resumed.Id);
  if (auto Found = this->CallIdByForward.find(Key);
      Found != this->CallIdByForward.end()) {
    const ForwardedCall &Call = this->Calls.at(Found->second);
    // What the call waits for may have been lost with the connection. A body
    // that was not asked for yet cannot have been.
    bool AwaitsBody = Call.Fetching && Call.FetchedAt != Instant();
    if (AwaitsBody || this->Confirmations.contains(Found->second))
      this->finishCall(Found->second, {.Code = Outcome::NoTarget}, Now, Out);
    return;
  }
  if (const ForwardResult *Recorded = this->Results.find(Key)) {
    Out.push_back(SendMessage{From, *Recorded});
    return;
  }
  // An earlier process may have run the request, or its result was evicted.
  bool NeverReceived = Resumed.ReceiverProcess == this->Options.Process &&
                       this->Results.isCompleteSince(Resumed.SentAgo, Now);
  if (NeverReceived)
    this->DroppedOnArrival[Key] = Now;
  ForwardResult Result{.Id = Resumed.Id,
                       .Process = Resumed.Process,
                       .Code =
                           NeverReceived ? Outcome::NoTarget : Outcome::Lost,
                       .Detail = "lost with the connection between the nodes"};
  Result.Status = this->status(Now);
  Out.push_back(SendMessage{From, std::move(Result)});
}

void TargetGate::noteOutcome(bool Failed) {
  this->FailureShare +=
      FailureWeight * ((Failed ? 1.0F : 0.0F) - this->FailureShare);
}

void TargetGate::handleAnswer(std::uint64_t Id, HttpAnswer Answer, bool NotRun,
                              Instant Now, Effects &Out) {
  auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end() || Found->second.Finished)
    return;
  this->ConnectionRefused = false;
  this->RunningRepeatPercent -= Found->second.Request.RepeatPercent;
  Duration HoldTime = Now - Found->second.StartedAt;
  // An error takes hardly any time at a slot and would make the target look
  // fast.
  if (NotRun || Answer.Status >= 500) {
    this->Queue.release();
  } else {
    this->Queue.release(HoldTime);
    this->ServiceTimes.note(Found->second.Request.RequestClass,
                            this->Slowdown.withoutSlowdown(HoldTime, Now), Now);
  }
  this->noteOutcome(Answer.Status >= 500);
  if (!NotRun)
    this->Crashes.noteAnswered(Found->second.Digest, Now);
  ForwardResult Result{.Code = NotRun ? Outcome::Refused : Outcome::Answered};
  // 421: the target does not hold the key, or another instance answered.
  if (NotRun && Answer.Status == 421)
    Result.Code = Outcome::NotOwner;
  Result.Answer = std::move(Answer);
  this->finishCall(Id, std::move(Result), Now, Out);
  this->startQueuedCalls(Now, Out);
}

void TargetGate::handleCallFailure(std::uint64_t Id, CallFailure Failure,
                                   std::string_view Detail, Instant Now,
                                   Effects &Out) {
  auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end() || Found->second.Finished)
    return;
  this->ConnectionRefused = Failure == CallFailure::NotSent;
  this->RunningRepeatPercent -= Found->second.Request.RepeatPercent;
  if (Failure == CallFailure::Broken)
    this->Crashes.noteBrokenCall(Found->second.Digest, Now);
  // The connections of an earlier incarnation break when it ends, which says
  // nothing about the present one.
  if (Failure != CallFailure::TimedOut &&
      Found->second.Incarnation == this->Incarnation) {
    this->ColdStarts.noteConnectionFailure();
    this->updateCold(Now, Out);
  }
  this->Queue.release();
  this->noteOutcome(true);
  ForwardResult Result{.Code = Failure == CallFailure::NotSent
                                   ? Outcome::NoTarget
                                   : Outcome::Lost};
  Result.Detail = Detail;
  this->finishCall(Id, std::move(Result), Now, Out);
  this->startQueuedCalls(Now, Out);
}

void TargetGate::handleCancel(const std::string &From,
                              const CancelForward &Cancelled, Instant Now,
                              Effects &Out) {
  ForwardKey Key(Cancelled.Process, Cancelled.Id);
  auto Found = this->CallIdByForward.find(Key);
  if (Found == this->CallIdByForward.end()) {
    // The cancellation may have overtaken the request over a new connection.
    if (!this->Results.find(Key))
      this->DroppedOnArrival[Key] = Now;
    return;
  }
  std::uint64_t Id = Found->second;
  this->CallIdByForward.erase(Found);
  ForwardedCall Call = std::move(this->Calls.at(Id));
  this->Calls.erase(Id);
  ++this->WithdrawnCalls;
  this->Link.release(Id);
  if (Call.Finished) {
    // The target has answered; the answer is dropped.
  } else if (Call.Started) {
    this->RunningRepeatPercent -= Call.Request.RepeatPercent;
    this->Queue.release();
    Out.push_back(CancelCall{Id});
    this->startQueuedCalls(Now, Out);
  } else if (Call.Fetching) {
    this->BodyFetches.end(Id);
    this->fetchBodies(Now, Out);
  } else if (this->Confirmations.erase(Id) == 0) {
    this->Queue.remove(Id);
  }
  Out.push_back(
      LogRecord{&events::CallWithdrawn,
                {field("request", Call.Request.AttemptId), field("from", From),
                 field("after_ms", millis(Now - Call.ReceivedAt)),
                 field("ran_ms", Call.Started ? millis(Now - Call.StartedAt)
                                              : std::string())}});
}

} // namespace orioledoor::routing
