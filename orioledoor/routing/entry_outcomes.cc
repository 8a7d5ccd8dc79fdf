// Handles the outcome of forwarded requests: answers the caller, retries at
// another target, or ends the request with a status that matches what is known.
#include <algorithm>
#include <utility>

#include "orioledoor/routing/entry.h"
#include "orioledoor/routing/events.h"
#include "orioledoor/routing/internal/entry_limits.h"
#include "orioledoor/routing/internal/log_text.h"

namespace orioledoor::routing {
namespace {

using internal::DefaultRetryAfter;
using internal::MaxRefusals;
using internal::millis;
using internal::MinAttemptTime;

// Time until a cancellation that could not be sent is sent again. The transport
// takes up to 300 ms to find that a node can't be reached, but notices a full
// send buffer at once.
constexpr Duration CancelRetryInterval = std::chrono::milliseconds(100);

// Time until a node that could not be reached is asked again. An attempt to
// connect takes up to 300 ms.
constexpr Duration AskAgainInterval = std::chrono::milliseconds(200);

// Time for which a class counts as calls of targets after a result that said
// so. Nodes that have just started do not know the class yet.
constexpr Duration CallClassLifetime = std::chrono::seconds(10);

// Status by which a target states that it does not hold the key.
constexpr int MisdirectedRequest = 421;

bool isTargetFailure(int Status) { return Status == 500 || Status == 503; }

} // namespace

void EntryReducer::handleResult(const std::string &From, ForwardResult Result,
                                Instant Now, Effects &Out) {
  this->Directory.noteReached(From);
  auto Found = this->CallerByForward.find(Result.Id);
  bool IsOfEarlierProcess =
      Result.Process != 0 && Result.Process != this->Options.Process;
  if (Found == this->CallerByForward.end() || IsOfEarlierProcess)
    return;
  PendingRequest &Pending = this->PendingRequests.at(Found->second);
  OpenForward *Sent = findForward(Pending, Result.Id);
  if (!Sent || Sent->Node != From)
    return;
  if (Result.OfRunningWork)
    this->CallClasses[Pending.RequestClass] = {Pending.Service, Now};
  if (Pending.Partitioned)
    this->HotKeys.setShare(Pending.Service, Pending.Request.Key,
                           Result.KeyShare, Now);
  if (Sent != &Pending.Current) {
    this->handleEarlierResult(Pending, std::move(Result), Now, Out);
    return;
  }
  this->close(Pending.Current);
  switch (Result.Code) {
  case Outcome::Answered:
    this->handleAnswer(Pending, std::move(Result), Now, Out);
    return;
  case Outcome::Lost:
    this->handleLost(Pending, FailureCause::Stated, Result.Detail, Now, Out);
    return;
  default:
    this->handleNotRun(Pending, Result, Now, Out);
  }
}

bool EntryReducer::tryConsumeRetry(const PendingRequest &Pending,
                                   RetryReason Reason, Instant Now) {
  return Pending.TargetAttempts < Pending.MatchedRoute->Attempts &&
         Pending.Deadline - Now >= MinAttemptTime &&
         this->Budgets.take(Pending.Service, Reason, Now);
}

void EntryReducer::noteReachedTarget(PendingRequest &Pending, Instant Now) {
  if (++Pending.TargetAttempts == 1)
    this->Budgets.noteArrival(Pending.Service, Now);
}

bool EntryReducer::callsOverBudget(Instant Now) const {
  return std::ranges::any_of(this->CallClasses, [&](const auto &Entry) {
    const CalledClass &Called = Entry.second;
    return Now - Called.StatedAt < CallClassLifetime &&
           this->Budgets.isShort(Called.Service, Now);
  });
}

double EntryReducer::inheritedRepeatShare(const PendingRequest &Pending,
                                          Instant Now) const {
  auto Found = this->CallClasses.find(Pending.RequestClass);
  return Found != this->CallClasses.end() &&
                 Now - Found->second.StatedAt < CallClassLifetime
             ? Pending.Request.LocalRepeatShare
             : 0.0;
}

void EntryReducer::handleAnswer(PendingRequest &Pending, ForwardResult Result,
                                Instant Now, Effects &Out) {
  this->noteReachedTarget(Pending, Now);
  Pending.MayHaveRun = true;
  if (!isTargetFailure(Result.Answer.Status))
    this->Sizes.note(Pending.RequestClass, answerBytes(Result.Answer));
  this->noteAccepted(Pending);
  if (isTargetFailure(Result.Answer.Status) &&
      Pending.MatchedRoute->Idempotent &&
      this->tryConsumeRetry(Pending, RetryReason::Failed, Now)) {
    Pending.LastAnswer = std::move(Result.Answer);
    this->dispatch(Pending, Now, Out);
    return;
  }
  if (isTargetFailure(Result.Answer.Status) && !Pending.Unresolved.empty()) {
    Pending.LastAnswer = std::move(Result.Answer);
    return;
  }
  this->answer(Pending, std::move(Result), Now, Out);
}

void EntryReducer::answer(PendingRequest &Pending, ForwardResult Result,
                          Instant Now, Effects &Out) {
  Out.push_back(
      LogRecord{&events::RequestAnswered,
                {{"request", Pending.Request.AttemptId},
                 {"service", Pending.Service},
                 {"status", std::to_string(Result.Answer.Status)},
                 {"instance", Result.Status.Target.Instance},
                 {"caller_service", Pending.Request.CallerService},
                 {"sends", std::to_string(Pending.TargetAttempts)},
                 {"took_ms", millis(Now - Pending.Request.FirstByteAt)}}});
  this->finish(Pending.Request.Caller, std::move(Result.Answer), Out);
}

void EntryReducer::handleNotRun(PendingRequest &Pending,
                                const ForwardResult &Result, Instant Now,
                                Effects &Out) {
  Pending.RetryAfter = std::max(Pending.RetryAfter, Result.RetryAfter);
  Pending.Busy = Result.Code == Outcome::Busy;
  bool Retry = false;
  switch (Result.Code) {
  case Outcome::Busy:
    this->Directory.noteBusy(Pending.TriedNodes.back(), Pending.RequestClass,
                             Result.RetryAfter, Now);
    // A key has one owner, so no other target could serve it.
    Retry = !Pending.Partitioned && ++Pending.Refusals < MaxRefusals;
    break;
  case Outcome::NoTarget:
    // A keyed request is only retried if the key has a new owner.
    Retry = ++Pending.Refusals < MaxRefusals + 2 &&
            (!Pending.Partitioned ||
             this->LookUpOwner(Pending.Service, Pending.Request.Key).Node !=
                 Pending.TriedNodes.back());
    break;
  case Outcome::NotOwner:
    // With this status the target itself refused the request, not its node.
    if (Result.Answer.Status == MisdirectedRequest) {
      this->noteReachedTarget(Pending, Now);
      if (!this->tryConsumeRetry(Pending, RetryReason::KeyMoved, Now))
        break;
    }
    this->park(Pending, Now, Out);
    return;
  case Outcome::CallsOverBudget:
    // The targets of other nodes may have room for the calls of a repeat.
    Retry = !Pending.Partitioned && ++Pending.Refusals < MaxRefusals;
    break;
  case Outcome::Refused:
    // The request reached a target, so another attempt uses the retry budget.
    this->noteReachedTarget(Pending, Now);
    Retry = this->tryConsumeRetry(Pending, RetryReason::Refused, Now);
    break;
  default:
    break;
  }
  if (Retry) {
    Out.push_back(
        LogRecord{&events::RequestRetried,
                  {{"request", Pending.Request.AttemptId},
                   {"service", Pending.Service},
                   {"why", "not run"},
                   {"outcome", std::to_string(static_cast<int>(Result.Code))},
                   {"tried", std::to_string(Pending.TriedNodes.size())},
                   {"left_ms", millis(Pending.Deadline - Now)}}});
    this->dispatch(Pending, Now, Out);
    return;
  }
  if (Pending.LastAnswer && Pending.Unresolved.empty()) {
    this->finish(Pending.Request.Caller, std::move(*Pending.LastAnswer), Out);
    return;
  }
  if (Pending.MayHaveRun && !Pending.MatchedRoute->Idempotent) {
    this->fail(Pending, 502, FailureCause::NoRetry,
               "an earlier try may have run", Now, Out);
    return;
  }
  if (Pending.Busy) {
    this->noteRefusedByTargets(Pending, Now);
    this->refuseForRoom(Pending, "the target has no room in time",
                        Pending.RetryAfter, Now, Out);
    return;
  }
  this->refuse(Pending, "the target did not run it",
               Pending.RetryAfter.count() > 0 ? Pending.RetryAfter
                                              : DefaultRetryAfter,
               Now, Out);
}

void EntryReducer::handleLost(PendingRequest &Pending, FailureCause Cause,
                              std::string_view Detail, Instant Now,
                              Effects &Out) {
  this->noteReachedTarget(Pending, Now);
  Pending.MayHaveRun = true;
  if (Pending.MatchedRoute->Idempotent &&
      this->tryConsumeRetry(Pending, RetryReason::Lost, Now)) {
    Out.push_back(LogRecord{&events::RequestRetried,
                            {{"request", Pending.Request.AttemptId},
                             {"service", Pending.Service},
                             {"why", std::string(Detail)},
                             {"sends", std::to_string(Pending.TargetAttempts)},
                             {"left_ms", millis(Pending.Deadline - Now)}}});
    this->dispatch(Pending, Now, Out);
    return;
  }
  this->fail(Pending, 502, Cause, Detail, Now, Out);
}

void EntryReducer::handleFetchBody(const std::string &Node,
                                   const FetchBody &Fetch, Instant Now,
                                   Effects &Out) {
  auto Found = this->CallerByForward.find(Fetch.Id);
  if (Found == this->CallerByForward.end() ||
      Fetch.Process != this->Options.Process)
    return;
  PendingRequest &Pending = this->PendingRequests.at(Found->second);
  OpenForward &Sent = Pending.Current;
  if (Sent.Id != Fetch.Id || Sent.Node != Node || !Sent.BodyWithheld)
    return;
  // The configuration or the evacuations may have changed since the Forward.
  std::span<const std::string> Regions = this->allowedRegions(Pending);
  PlacementVerdict Placement =
      Pending.Partitioned ? this->Directory.checkOwner(Node, Regions, Now)
                          : this->Directory.checkPlacement(Node, Regions);
  if (Placement != PlacementVerdict::Allowed) {
    this->withdrawWithheld(Node, Pending, Now, Out);
    return;
  }
  Sent.BodyWithheld = false;
  Sent.SentAt = Now;
  Out.push_back(
      SendMessage{Node, ForwardBody{.Id = Fetch.Id,
                                    .Process = Fetch.Process,
                                    .Body = Pending.Request.Content->Body}});
}

void EntryReducer::withdraw(PendingRequest &Pending, Effects &Out) {
  for (OpenForward &Sent : Pending.Unresolved)
    this->withdraw(Sent, Pending.Deadline, Out);
  Pending.Unresolved.clear();
  this->withdraw(Pending.Current, Pending.Deadline, Out);
}

void EntryReducer::withdraw(OpenForward &Sent, Instant Until, Effects &Out) {
  if (!Sent.isOpen())
    return;
  Withdrawal &Added = this->Withdrawals[Sent.Id];
  Added = {.Node = Sent.Node, .Until = Until, .RetryAt = {}};
  this->sendCancel(Sent.Id, Added, Out);
  this->close(Sent);
}

void EntryReducer::sendCancel(std::uint64_t ForwardId, Withdrawal &Cancelled,
                              Effects &Out) {
  Cancelled.RetryAt.reset();
  Out.push_back(SendMessage{Cancelled.Node,
                            CancelForward{ForwardId, this->Options.Process}});
}

void EntryReducer::retryCancels(Instant Now, Effects &Out) {
  std::erase_if(this->Withdrawals,
                [Now](const auto &Entry) { return Now >= Entry.second.Until; });
  for (auto &[Id, Cancelled] : this->Withdrawals)
    if (Cancelled.RetryAt && Now >= *Cancelled.RetryAt)
      this->sendCancel(Id, Cancelled, Out);
}

void EntryReducer::handleCancelNotSent(const std::string &Node,
                                       std::uint64_t Id, Instant Now) {
  this->Directory.noteUnreachable(Node, Now);
  if (auto Found = this->Withdrawals.find(Id); Found != this->Withdrawals.end())
    Found->second.RetryAt = Now + CancelRetryInterval;
}

void EntryReducer::handleConfirm(const std::string &Node,
                                 const ConfirmForward &Asked, Instant Now,
                                 Effects &Out) {
  auto Found = this->CallerByForward.find(Asked.Id);
  if (Asked.Process != this->Options.Process ||
      Found == this->CallerByForward.end()) {
    Out.push_back(SendMessage{Node, CancelForward{Asked.Id, Asked.Process}});
    return;
  }
  const PendingRequest &Pending = this->PendingRequests.at(Found->second);
  Out.push_back(
      SendMessage{Node, ForwardConfirmed{.Id = Asked.Id,
                                         .Process = Asked.Process,
                                         .TimeLeft = Pending.Deadline - Now}});
}

void EntryReducer::handleSendFailure(const std::string &Node, std::uint64_t Id,
                                     Instant Now, Effects &Out) {
  this->Directory.noteUnreachable(Node, Now);
  auto Found = this->CallerByForward.find(Id);
  if (Found == this->CallerByForward.end())
    return;
  PendingRequest &Pending = this->PendingRequests.at(Found->second);
  OpenForward &Sent = *findForward(Pending, Id);
  if (!Sent.Asked) {
    this->close(Pending.Current);
    Out.push_back(
        LogRecord{&events::ForwardNotSent,
                  {{"request", Pending.Request.AttemptId}, {"peer", Node}}});
    this->handleNotRun(Pending, {.Code = Outcome::NoTarget}, Now, Out);
    return;
  }
  // Whether the request runs is unknown.
  constexpr std::string_view Why = "the target's node is unreachable";
  if (!Sent.NodeRemoved) {
    Sent.AskAgainAt = Now + AskAgainInterval;
    if (&Sent == &Pending.Current)
      this->tryElsewhere(Pending, Why, Now, Out);
  } else if (&Sent == &Pending.Current) {
    this->close(Sent);
    this->handleLost(Pending, FailureCause::Unreachable, Why, Now, Out);
  } else {
    this->dropUnresolved(Pending, Id, FailureCause::Unreachable, Why, Now, Out);
  }
}

OpenForward *EntryReducer::findForward(PendingRequest &Pending,
                                       std::uint64_t Id) {
  if (Pending.Current.isOpen() && Pending.Current.Id == Id)
    return &Pending.Current;
  auto Found = std::ranges::find(Pending.Unresolved, Id, &OpenForward::Id);
  return Found == Pending.Unresolved.end() ? nullptr : &*Found;
}

std::vector<OpenForward *> EntryReducer::forwardsAt(PendingRequest &Pending,
                                                    std::string_view Node) {
  std::vector<OpenForward *> Found;
  for (OpenForward &Sent : Pending.Unresolved)
    if (Sent.Node == Node)
      Found.push_back(&Sent);
  if (Pending.Current.Node == Node)
    Found.push_back(&Pending.Current);
  return Found;
}

void EntryReducer::ask(OpenForward &Sent, Instant Now, Effects &Out) const {
  Sent.Asked = true;
  Sent.AskAgainAt.reset();
  Out.push_back(SendMessage{
      Sent.Node, ResumeForward{.Id = Sent.Id,
                               .Process = this->Options.Process,
                               .ReceiverProcess = Sent.ReceiverProcess,
                               .SentAgo = Now - Sent.SentAt}});
}

void EntryReducer::askAgain(PendingRequest &Pending, Instant Now,
                            Effects &Out) const {
  auto AskIfDue = [&](OpenForward &Sent) {
    if (Sent.AskAgainAt && Now >= *Sent.AskAgainAt)
      this->ask(Sent, Now, Out);
  };
  std::ranges::for_each(Pending.Unresolved, AskIfDue);
  AskIfDue(Pending.Current);
}

void EntryReducer::tryElsewhere(PendingRequest &Pending, std::string_view Why,
                                Instant Now, Effects &Out) {
  // Only the owner of a key can serve it.
  bool HasChoice =
      !Pending.Partitioned ||
      this->LookUpOwner(Pending.Service, Pending.Request.Key).Node !=
          Pending.Current.Node;
  // The current try counts as the first attempt from now on.
  bool HasAttempts =
      Pending.TargetAttempts + 1 < Pending.MatchedRoute->Attempts;
  if (!Pending.MatchedRoute->Idempotent || !HasChoice || !HasAttempts ||
      Pending.Deadline - Now < MinAttemptTime ||
      !this->Budgets.take(Pending.Service, RetryReason::Lost, Now))
    return;
  this->noteReachedTarget(Pending, Now);
  Pending.MayHaveRun = true;
  Pending.Unresolved.push_back(std::exchange(Pending.Current, {}));
  Out.push_back(LogRecord{&events::RequestRetried,
                          {{"request", Pending.Request.AttemptId},
                           {"service", Pending.Service},
                           {"why", std::string(Why)},
                           {"sends", std::to_string(Pending.TargetAttempts)},
                           {"left_ms", millis(Pending.Deadline - Now)}}});
  this->dispatch(Pending, Now, Out);
}

void EntryReducer::handleEarlierResult(PendingRequest &Pending,
                                       ForwardResult Result, Instant Now,
                                       Effects &Out) {
  bool IsAnswer = Result.Code == Outcome::Answered;
  if (IsAnswer && !isTargetFailure(Result.Answer.Status)) {
    this->close(*findForward(Pending, Result.Id));
    std::erase_if(Pending.Unresolved,
                  [](const OpenForward &Sent) { return !Sent.isOpen(); });
    this->withdraw(Pending, Out);
    this->answer(Pending, std::move(Result), Now, Out);
    return;
  }
  if (IsAnswer)
    Pending.LastAnswer = std::move(Result.Answer);
  this->dropUnresolved(Pending, Result.Id, FailureCause::Stated, Result.Detail,
                       Now, Out);
}

void EntryReducer::dropUnresolved(PendingRequest &Pending, std::uint64_t Id,
                                  FailureCause Cause, std::string_view Why,
                                  Instant Now, Effects &Out) {
  this->close(*findForward(Pending, Id));
  std::erase_if(Pending.Unresolved,
                [](const OpenForward &Sent) { return !Sent.isOpen(); });
  if (!isParked(Pending))
    return;
  if (Pending.LastAnswer)
    this->finish(Pending.Request.Caller, std::move(*Pending.LastAnswer), Out);
  else
    this->fail(Pending, 502, Cause, Why, Now, Out);
}

bool EntryReducer::withdrawWithheld(const std::string &Node,
                                    PendingRequest &Pending, Instant Now,
                                    Effects &Out) {
  OpenForward &Sent = Pending.Current;
  if (Sent.Node != Node || !Sent.BodyWithheld)
    return false;
  Out.push_back(
      SendMessage{Node, CancelForward{Sent.Id, this->Options.Process}});
  this->close(Sent);
  this->handleNotRun(Pending, {.Code = Outcome::NoTarget}, Now, Out);
  return true;
}

std::vector<std::uint64_t> EntryReducer::callersAt(const std::string &Node) {
  std::vector<std::uint64_t> Callers;
  for (auto &[Caller, Pending] : this->PendingRequests)
    if (!forwardsAt(Pending, Node).empty())
      Callers.push_back(Caller);
  std::ranges::sort(Callers);
  return Callers;
}

void EntryReducer::handleConnectionLost(const std::string &Node, Instant Now,
                                        Effects &Out) {
  for (auto &[Id, Cancelled] : this->Withdrawals)
    if (Cancelled.Node == Node && Now < Cancelled.Until)
      this->sendCancel(Id, Cancelled, Out);
  for (std::uint64_t Caller : this->callersAt(Node)) {
    PendingRequest &Pending = this->PendingRequests.at(Caller);
    if (this->withdrawWithheld(Node, Pending, Now, Out))
      continue;
    bool LostBefore = Pending.Current.Node == Node && Pending.Current.Asked;
    for (OpenForward *Sent : forwardsAt(Pending, Node))
      this->ask(*Sent, Now, Out);
    if (LostBefore)
      this->tryElsewhere(Pending, "the connection to the target's node broke",
                         Now, Out);
  }
}

void EntryReducer::handleNewConnection(const std::string &Node, Instant Now,
                                       Effects &Out) {
  for (std::uint64_t Caller : this->callersAt(Node))
    for (OpenForward *Sent : forwardsAt(this->PendingRequests.at(Caller), Node))
      this->ask(*Sent, Now, Out);
}

void EntryReducer::handleNodeRemoved(const std::string &Node, Instant Now,
                                     Effects &Out) {
  for (std::uint64_t Caller : this->callersAt(Node)) {
    PendingRequest &Pending = this->PendingRequests.at(Caller);
    if (this->withdrawWithheld(Node, Pending, Now, Out))
      continue;
    for (OpenForward *Sent : forwardsAt(Pending, Node)) {
      Sent->NodeRemoved = true;
      this->ask(*Sent, Now, Out);
    }
  }
}

void EntryReducer::handleNodeReplaced(const std::string &Node, Instant Now,
                                      Effects &Out) {
  // A question to the earlier process may have been lost, and its connections
  // do not count as lost for the new one.
  for (std::uint64_t Caller : this->callersAt(Node))
    for (OpenForward *Sent : forwardsAt(this->PendingRequests.at(Caller), Node))
      Sent->Asked = false;
  this->handleConnectionLost(Node, Now, Out);
}

} // namespace orioledoor::routing
