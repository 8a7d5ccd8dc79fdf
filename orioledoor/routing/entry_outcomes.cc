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
using internal::LeastTryTime;
using internal::MaxBounces;
using internal::millis;

bool isOwnFailure(int Status) { return Status == 500 || Status == 503; }

} // namespace

void EntryReducer::result(const std::string &From, ForwardResult Result,
                          Instant Now, Effects &Out) {
  this->Directory.noteReached(From);
  auto Found = this->ByForward.find(Result.Id);
  if (Found == this->ByForward.end())
    return;
  Pending &Of = this->Open.at(Found->second);
  this->leaveTarget(Of);
  switch (Result.Ended) {
  case Outcome::Answered:
    this->handleAnswer(Of, std::move(Result), Now, Out);
    return;
  case Outcome::Lost:
    this->handleLost(Of, Result.Detail, Now, Out);
    return;
  default:
    this->handleNotRun(Of, Result, Now, Out);
  }
}

bool EntryReducer::mayRetry(const Pending &Of, Instant Now) {
  return Of.Sends < Of.Of->Attempts && Of.Deadline - Now >= LeastTryTime &&
         this->budgetOf(Of.Service).take(Now);
}

void EntryReducer::handleAnswer(Pending &Of, ForwardResult Result, Instant Now,
                                Effects &Out) {
  ++Of.Sends;
  Of.MayHaveRun = true;
  if (isOwnFailure(Result.Answer.Status) && Of.Of->Idempotent &&
      this->mayRetry(Of, Now)) {
    Of.LastAnswer = std::move(Result.Answer);
    this->dispatch(Of, Now, Out);
    return;
  }
  Out.push_back(LogRecord{&events::RequestAnswered,
                          {{"request", Of.Request.AttemptId},
                           {"service", Of.Service},
                           {"status", std::to_string(Result.Answer.Status)},
                           {"instance", Result.Status.Target.Instance},
                           {"sends", std::to_string(Of.Sends)},
                           {"took_ms", millis(Now - Of.Request.FirstByteAt)}}});
  this->finish(Of.Request.Caller, std::move(Result.Answer), Out);
}

void EntryReducer::handleNotRun(Pending &Of, const ForwardResult &Result,
                                Instant Now, Effects &Out) {
  Of.RetryAfter = std::max(Of.RetryAfter, Result.RetryAfter);
  bool Again = false;
  switch (Result.Ended) {
  case Outcome::Busy:
    // A key has one owner, so no other target could serve it.
    Again = !Of.Partitioned && ++Of.Bounces < MaxBounces;
    break;
  case Outcome::NoTarget:
    // A keyed request is only retried if the key has a new owner.
    Again = ++Of.Bounces < MaxBounces + 2 &&
            (!Of.Partitioned ||
             this->Owners(Of.Service, Of.Request.Key).Node != Of.Tried.back());
    break;
  case Outcome::NotOwner:
    this->park(Of, Now, Out);
    return;
  case Outcome::Refused:
    // The request reached a target, so another attempt uses the retry budget.
    ++Of.Sends;
    Again = this->mayRetry(Of, Now);
    break;
  default:
    break;
  }
  if (Again) {
    Out.push_back(
        LogRecord{&events::RequestRetried,
                  {{"request", Of.Request.AttemptId},
                   {"why", "not run"},
                   {"outcome", std::to_string(static_cast<int>(Result.Ended))},
                   {"tried", std::to_string(Of.Tried.size())},
                   {"left_ms", millis(Of.Deadline - Now)}}});
    this->dispatch(Of, Now, Out);
    return;
  }
  if (Of.LastAnswer) {
    this->finish(Of.Request.Caller, std::move(*Of.LastAnswer), Out);
    return;
  }
  if (Of.MayHaveRun && !Of.Of->Idempotent) {
    this->fail(Of, 502, "an earlier try may have run", Now, Out);
    return;
  }
  this->refuse(Of,
               Result.Ended == Outcome::Busy ? "the target has no room in time"
                                             : "the target did not run it",
               Of.RetryAfter.count() > 0 ? Of.RetryAfter : DefaultRetryAfter,
               Now, Out);
}

void EntryReducer::handleLost(Pending &Of, std::string_view Detail, Instant Now,
                              Effects &Out) {
  ++Of.Sends;
  Of.MayHaveRun = true;
  if (Of.Of->Idempotent && this->mayRetry(Of, Now)) {
    Out.push_back(LogRecord{&events::RequestRetried,
                            {{"request", Of.Request.AttemptId},
                             {"why", std::string(Detail)},
                             {"sends", std::to_string(Of.Sends)},
                             {"left_ms", millis(Of.Deadline - Now)}}});
    this->dispatch(Of, Now, Out);
    return;
  }
  this->fail(Of, 502, Detail, Now, Out);
}

void EntryReducer::fetchBody(const std::string &Node, const FetchBody &Asked,
                             Instant Now, Effects &Out) {
  auto Found = this->ByForward.find(Asked.Id);
  if (Found == this->ByForward.end() || Asked.Process != this->Options.Process)
    return;
  Pending &Of = this->Open.at(Found->second);
  if (Of.At != Node || !Of.BodyWithheld)
    return;
  Of.BodyWithheld = false;
  Of.SentAt = Now;
  Out.push_back(
      SendMessage{Node, ForwardBody{.Id = Asked.Id,
                                    .Process = Asked.Process,
                                    .Body = Of.Request.Content->Body}});
}

void EntryReducer::notSent(const std::string &Node, std::uint64_t Id,
                           Instant Now, Effects &Out) {
  this->Directory.noteUnreachable(Node, Now);
  auto Found = this->ByForward.find(Id);
  if (Found == this->ByForward.end())
    return;
  Pending &Of = this->Open.at(Found->second);
  if (Of.Resumed) {
    // Whether the request runs is unknown. A request that is not idempotent
    // keeps waiting for its result.
    if (Of.Of->Idempotent) {
      this->leaveTarget(Of);
      this->handleLost(Of, "the target's node is unreachable", Now, Out);
    }
    return;
  }
  this->leaveTarget(Of);
  Out.push_back(LogRecord{&events::ForwardNotSent,
                          {{"request", Of.Request.AttemptId}, {"peer", Node}}});
  this->handleNotRun(Of, {.Ended = Outcome::NoTarget}, Now, Out);
}

void EntryReducer::nodeLost(const std::string &Node, bool Ended, Instant Now,
                            Effects &Out) {
  std::vector<std::uint64_t> Affected;
  for (const auto &[Caller, Of] : this->Open)
    if (Of.At == Node)
      Affected.push_back(Caller);
  std::ranges::sort(Affected);
  if (Ended)
    this->Directory.noteUnreachable(Node, Now);
  for (std::uint64_t Caller : Affected) {
    Pending &Of = this->Open.at(Caller);
    if (Of.BodyWithheld) {
      Out.push_back(SendMessage{
          Node, CancelForward{Of.ForwardId, this->Options.Process}});
      this->leaveTarget(Of);
      this->handleNotRun(Of, {.Ended = Outcome::NoTarget}, Now, Out);
      continue;
    }
    if (!Ended && !Of.Resumed) {
      Of.Resumed = true;
      Out.push_back(
          SendMessage{Node, ResumeForward{.Id = Of.ForwardId,
                                          .Process = this->Options.Process,
                                          .Receiver = Of.Receiver,
                                          .SentAgo = Now - Of.SentAt}});
      continue;
    }
    // As long as the node's process lives, the result of a request that is not
    // idempotent may still arrive over a new connection.
    if (!Ended && !Of.Of->Idempotent)
      continue;
    Out.push_back(
        SendMessage{Node, CancelForward{Of.ForwardId, this->Options.Process}});
    this->leaveTarget(Of);
    this->handleLost(Of, "the connection to the target's node broke", Now, Out);
  }
}

void EntryReducer::nodeReplaced(const std::string &Node, Instant Now,
                                Effects &Out) {
  // A ResumeForward to the earlier process may have been lost; send it again to
  // the new one.
  for (auto &[Caller, Of] : this->Open)
    if (Of.At == Node)
      Of.Resumed = false;
  this->nodeLost(Node, false, Now, Out);
}

} // namespace orioledoor::routing
