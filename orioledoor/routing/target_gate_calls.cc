// Admission of forwarded requests, transfer of their bodies, and their results.
#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "orioledoor/routing/events.h"
#include "orioledoor/routing/internal/log_text.h"
#include "orioledoor/routing/target_gate.h"

namespace orioledoor::routing {
namespace {

using internal::field;
using internal::millis;
using std::chrono::milliseconds;

// A request with less time left is not started.
constexpr Duration LeastTimeLeft = milliseconds(10);
// A request is admitted if it meets its latency target even when it takes this
// percentage of the mean service time. Most requests take less. With 100
// percent, half of the requests admitted at the limit would be late.
constexpr int SlowRequestPercent = 140;
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
constexpr Duration FetchTime = milliseconds(30);
// Weight of a new outcome in the failure share; about the last 30 calls count.
constexpr float FailureWeight = 0.033F;
// Reserved for the way of the answer back to the caller.
constexpr Duration AnswerMargin = milliseconds(15);

std::string_view nameOf(Outcome Why) {
  switch (Why) {
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
  }
  return "unknown";
}

} // namespace

std::optional<Outcome> TargetGate::refusalOf(const Forward &Request,
                                             KeyState Key, std::uint64_t Digest,
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
  if (Request.TimeLeft < LeastTimeLeft)
    return Outcome::Expired;
  if (this->Crashes.isQuarantined(Digest, Now))
    return Outcome::Quarantined;
  return std::nullopt;
}

void TargetGate::refuse(const std::string &From, const Forward &Request,
                        Outcome Why, Duration RetryAfter, Instant Now,
                        Effects &Out) {
  Out.push_back(
      LogRecord{&events::CallRefused,
                {field("request", Request.AttemptId), field("from", From),
                 field("why", std::string(nameOf(Why))),
                 field("instance", this->Target.Instance),
                 field("running", std::to_string(this->Queue.running())),
                 field("waiting", std::to_string(this->Queue.waiting())),
                 field("priority", std::to_string(Request.Priority)),
                 field("time_left_ms", millis(Request.TimeLeft)),
                 field("latency_left_ms", millis(Request.LatencyLeft)),
                 field("retry_after_ms", millis(RetryAfter))}});
  ForwardResult Result{.Id = Request.Id, .Ended = Why};
  Result.RetryAfter = RetryAfter;
  Result.Status = this->status(Now);
  Out.push_back(SendMessage{From, std::move(Result)});
}

Duration TargetGate::expectedTime(WorkId Work, Instant Now) const {
  if (Duration Measured = this->Times.of(Work, Now); Measured.count() > 0)
    return Measured;
  return this->Queue.serviceTime().count() > 0 ? this->Queue.serviceTime()
                                               : DefaultServiceTime;
}

void TargetGate::forward(const std::string &From, Forward Request, KeyState Key,
                         Instant Now, Effects &Out) {
  if (this->Disowned.contains({Request.Process, Request.Id}))
    return;
  bool Withheld = Request.WithheldBytes > 0;
  std::uint64_t Digest =
      Withheld ? 0 : crashDigest(Request.CallerService, *Request.Content);
  if (auto Why = this->refusalOf(Request, Key, Digest, Now)) {
    this->refuse(From, Request, *Why, Duration(0), Now, Out);
    return;
  }
  Duration Service = this->expectedTime(Request.Work, Now);
  // Requests that can no longer meet their latency target are queued behind
  // those that can.
  bool Timely = Request.LatencyLeft > Service;
  QueueRank Rank{Request.Priority,
                 Now + (Timely ? Request.LatencyLeft : Request.TimeLeft)};
  Duration Wait = this->Queue.expectedWait(Rank);
  Duration Transfer(0);
  if (Withheld) {
    Wait = std::max(Wait, this->Intake.expectedWait());
    Transfer = this->Intake.transferTime(Request.WithheldBytes) + FetchTime;
  }
  Duration Limit = std::max(Request.LatencyLeft - Transfer -
                                Service * SlowRequestPercent / 100 - ReturnTime,
                            std::min(Service / LateWaitDivisor,
                                     Request.TimeLeft - Transfer - Service));
  if (!Request.LastChoice)
    Limit = std::min(Limit, Request.WorthwhileWait);
  if (Wait > Limit && Wait > Duration(0)) {
    this->refuse(From, Request, Outcome::Busy, std::max(Wait, BusyRetryAfter),
                 Now, Out);
    return;
  }
  std::uint64_t Id = this->NextCall++;
  Call &Added = this->Calls[Id];
  Added.From = From;
  Added.Deadline = Now + Request.TimeLeft - AnswerMargin;
  Added.Rank = Rank;
  Added.StartBy = Now + std::max(Limit, Duration(0));
  Added.Digest = Digest;
  Added.Request = std::move(Request);
  this->ByForward[{Added.Request.Process, Added.Request.Id}] = Id;
  if (!Withheld) {
    this->admit(Id, Now, Out);
    return;
  }
  Added.Fetching = true;
  this->Intake.push(Id, Added.Request.WithheldBytes, Added.StartBy);
  this->fetchBodies(Now, Out);
}

void TargetGate::admit(std::uint64_t Id, Instant Now, Effects &Out) {
  if (this->Queue.tryStart()) {
    this->start(Id, Now, Out);
    return;
  }
  const Call &Of = this->Calls.at(Id);
  this->Queue.push({.Id = Id, .Rank = Of.Rank, .StartBy = Of.StartBy});
  // If all waiting requests are overdue, a slot may be free although the queue
  // is not empty.
  this->startWaiting(Now, Out);
}

void TargetGate::fetchBodies(Instant Now, Effects &Out) {
  while (auto Id = this->Intake.popNext(Now)) {
    Call &Of = this->Calls.at(*Id);
    Of.FetchedAt = Now;
    Out.push_back(
        SendMessage{Of.From, FetchBody{Of.Request.Id, Of.Request.Process}});
  }
}

void TargetGate::receiveBody(ForwardBody Received, Instant Now, Effects &Out) {
  auto Found = this->ByForward.find({Received.Process, Received.Id});
  if (Found == this->ByForward.end())
    return;
  std::uint64_t Id = Found->second;
  Call &Of = this->Calls.at(Id);
  if (!Of.Fetching)
    return;
  Of.Fetching = false;
  this->Intake.end(Id);
  auto Content = std::make_shared<RequestContent>(*Of.Request.Content);
  Content->Body = std::move(Received.Body);
  Of.Request.Content = std::move(Content);
  Of.Digest = crashDigest(Of.Request.CallerService, *Of.Request.Content);
  Of.Request.TimeLeft = Of.Deadline - Now;
  // The transfer has already been paid for, so allow the request to wait for a
  // slot a little longer.
  Of.StartBy =
      std::max(Of.StartBy, Now + this->expectedTime(Of.Request.Work, Now) /
                                     LateWaitDivisor);
  // If the key has been transferred in the meantime, the target itself refuses
  // the request.
  if (auto Why =
          this->refusalOf(Of.Request, KeyState::NotKeyed, Of.Digest, Now))
    this->end(Id, {.Ended = *Why}, Now, Out);
  else
    this->admit(Id, Now, Out);
  this->fetchBodies(Now, Out);
}

void TargetGate::endOverdue(Instant Now, Effects &Out) {
  for (const WaitingRequest &Each : this->Queue.takeOverdue(Now)) {
    ForwardResult Result{.Ended = Outcome::Busy};
    Result.RetryAfter = BusyRetryAfter;
    this->end(Each.Id, std::move(Result), Now, Out);
  }
  for (std::uint64_t Id : this->Intake.takeOverdue(Now)) {
    ForwardResult Result{.Ended = Outcome::Busy};
    Result.RetryAfter = std::max(this->Intake.expectedWait(), BusyRetryAfter);
    this->end(Id, std::move(Result), Now, Out);
  }
  if (this->Intake.queuedBytes() == 0)
    return;
  std::vector<std::uint64_t> Stuck;
  for (const auto &[Id, Of] : this->Calls)
    if (Of.Fetching && Of.FetchedAt != Instant() &&
        Now - Of.FetchedAt > FetchTimeout)
      Stuck.push_back(Id);
  for (std::uint64_t Id : Stuck)
    this->end(Id, {.Ended = Outcome::NoTarget}, Now, Out);
  this->fetchBodies(Now, Out);
}

void TargetGate::start(std::uint64_t Id, Instant Now, Effects &Out) {
  Call &Of = this->Calls.at(Id);
  Of.Started = true;
  Of.StartedAt = Now;
  Out.push_back(StartCall{.Call = Id,
                          .Instance = this->Target.Instance,
                          .AttemptId = Of.Request.AttemptId,
                          .CallerService = Of.Request.CallerService,
                          .Key = Of.Request.Key,
                          .TimeLeft = Of.Deadline - Now,
                          .Idempotent = Of.Request.Idempotent,
                          .Content = Of.Request.Content});
}

void TargetGate::startWaiting(Instant Now, Effects &Out) {
  if (this->State == TargetState::Absent || this->Drained)
    return;
  while (auto Next = this->Queue.popStartable(Now)) {
    const Call &Of = this->Calls.at(Next->Id);
    if (Of.Deadline - Now >= LeastTimeLeft) {
      this->start(Next->Id, Now, Out);
      continue;
    }
    this->Queue.release();
    this->end(Next->Id, {.Ended = Outcome::Expired}, Now, Out);
  }
}

void TargetGate::end(std::uint64_t Id, ForwardResult Result, Instant Now,
                     Effects &Out) {
  auto Found = this->Calls.find(Id);
  Call Of = std::move(Found->second);
  this->Calls.erase(Found);
  this->ByForward.erase({Of.Request.Process, Of.Request.Id});
  if (Of.Fetching)
    this->Intake.end(Id);
  Result.Id = Of.Request.Id;
  Result.Status = this->status(Now);
  if (Result.Ended != Outcome::Answered)
    Out.push_back(LogRecord{
        Result.Ended == Outcome::Lost ? &events::CallFailed
                                      : &events::CallRefused,
        {field("request", Of.Request.AttemptId), field("from", Of.From),
         field("why", std::string(nameOf(Result.Ended))),
         field("detail", Result.Detail),
         field("instance", this->Target.Instance),
         field("running", std::to_string(this->Queue.running())),
         field("waiting", std::to_string(this->Queue.waiting()))}});
  if (Of.From != this->Options.Node)
    this->Recent.add({Of.Request.Process, Of.Request.Id}, Result, Now);
  Out.push_back(SendMessage{Of.From, std::move(Result)});
}

void TargetGate::resume(const std::string &From, const ResumeForward &Resumed,
                        Instant Now, Effects &Out) {
  ForwardKey Key(Resumed.Process, Resumed.Id);
  if (auto Found = this->ByForward.find(Key); Found != this->ByForward.end()) {
    // The body or the FetchBody was lost with the connection.
    if (this->Calls.at(Found->second).Fetching)
      this->end(Found->second, {.Ended = Outcome::NoTarget}, Now, Out);
    return;
  }
  if (const ForwardResult *Kept = this->Recent.find(Key)) {
    Out.push_back(SendMessage{From, *Kept});
    return;
  }
  // An earlier process may have run the request, or its result was evicted.
  bool Known = Resumed.Receiver == this->Options.Process &&
               this->Recent.vouches(Resumed.SentAgo, Now);
  if (Known)
    this->Disowned[Key] = Now;
  ForwardResult Result{.Id = Resumed.Id,
                       .Ended = Known ? Outcome::NoTarget : Outcome::Lost,
                       .Detail = "lost with the connection between the nodes"};
  Result.Status = this->status(Now);
  Out.push_back(SendMessage{From, std::move(Result)});
}

void TargetGate::noteOutcome(bool Failed) {
  this->FailureShare +=
      FailureWeight * ((Failed ? 1.0F : 0.0F) - this->FailureShare);
}

void TargetGate::answered(std::uint64_t Id, HttpAnswer Answer, bool NotRun,
                          Instant Now, Effects &Out) {
  auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end())
    return;
  this->ConnectionRefused = false;
  Duration Held = Now - Found->second.StartedAt;
  // An error takes hardly any time at a slot and would make the target look
  // fast.
  if (NotRun || Answer.Status >= 500) {
    this->Queue.release();
  } else {
    this->Queue.release(Held);
    this->Times.note(Found->second.Request.Work, Held, Now);
  }
  this->noteOutcome(Answer.Status >= 500);
  if (!NotRun)
    this->Crashes.noteAnswered(Found->second.Digest, Now);
  ForwardResult Result{.Ended = NotRun ? Outcome::Refused : Outcome::Answered};
  // 421: the target does not hold the key, or another instance answered.
  if (NotRun && Answer.Status == 421)
    Result.Ended = Outcome::NotOwner;
  Result.Answer = std::move(Answer);
  this->end(Id, std::move(Result), Now, Out);
  this->startWaiting(Now, Out);
}

void TargetGate::failed(std::uint64_t Id, CallFailure Failure,
                        std::string_view Detail, Instant Now, Effects &Out) {
  auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end())
    return;
  this->ConnectionRefused = Failure == CallFailure::NotSent;
  if (Failure == CallFailure::Broken)
    this->Crashes.noteBroken(Found->second.Digest, Now);
  this->Queue.release();
  this->noteOutcome(true);
  ForwardResult Result{.Ended = Failure == CallFailure::NotSent
                                    ? Outcome::NoTarget
                                    : Outcome::Lost};
  Result.Detail = Detail;
  this->end(Id, std::move(Result), Now, Out);
  this->startWaiting(Now, Out);
}

void TargetGate::cancel(const std::string &, const CancelForward &Cancelled,
                        Instant Now, Effects &Out) {
  auto Found = this->ByForward.find({Cancelled.Process, Cancelled.Id});
  if (Found == this->ByForward.end())
    return;
  std::uint64_t Id = Found->second;
  this->ByForward.erase(Found);
  bool Started = this->Calls.at(Id).Started;
  bool Fetching = this->Calls.at(Id).Fetching;
  this->Calls.erase(Id);
  if (Fetching) {
    this->Intake.end(Id);
    this->fetchBodies(Now, Out);
    return;
  }
  if (!Started) {
    this->Queue.remove(Id);
    return;
  }
  this->Queue.release();
  Out.push_back(CancelCall{Id});
  this->startWaiting(Now, Out);
}

} // namespace orioledoor::routing
