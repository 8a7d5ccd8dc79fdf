// Confirmation of requests whose callers may have left unnoticed: the message
// that brought the request was late, or this process stood still, so that a
// cancellation may be waiting unread behind it.
#include <vector>

#include "orioledoor/routing/events.h"
#include "orioledoor/routing/internal/log_text.h"
#include "orioledoor/routing/target_gate.h"

namespace orioledoor::routing {
namespace {

using internal::field;
using internal::millis;
using std::chrono::milliseconds;

// The platform allows 500 ms from the departure of a caller until its request
// reaches a target. A cancellation is as late as the request before it, so a
// request with a smaller delay is within this bound.
constexpr Duration MaxUnconfirmedDelay = milliseconds(200);
// Time for an answer to ConfirmForward. An older confirmation does not show
// that the caller has not left for longer than the bound.
constexpr Duration ConfirmationTimeout = milliseconds(400);
// Time in which the event loop reads the departures of callers at this VM that
// happened while it stood still; shorter than the interval of the ticks.
constexpr Duration LocalReadTime = milliseconds(15);

} // namespace

bool TargetGate::needsConfirmation(Duration Delay) {
  return Delay >= MaxUnconfirmedDelay;
}

void TargetGate::confirm(std::uint64_t Id, Instant Now, Effects &Out) {
  const ForwardedCall &Call = this->Calls.at(Id);
  this->Confirmations[Id] = Now;
  ++this->UnconfirmedCalls;
  if (Call.From != this->Options.Node)
    Out.push_back(SendMessage{
        Call.From, ConfirmForward{Call.Request.Id, Call.Request.Process}});
  Out.push_back(LogRecord{&events::CallUnconfirmed,
                          {field("request", Call.Request.AttemptId),
                           field("from", Call.From),
                           field("after_ms", millis(Now - Call.ReceivedAt))}});
}

void TargetGate::handleStandstill(Instant Now, Effects &Out) {
  for (const WaitingRequest &Waiting : this->Queue.takeAll())
    this->confirm(Waiting.Id, Now, Out);
}

void TargetGate::handleConfirmed(const ForwardConfirmed &Confirmed, Instant Now,
                                 Effects &Out) {
  auto Found = this->CallIdByForward.find({Confirmed.Process, Confirmed.Id});
  if (Found == this->CallIdByForward.end())
    return;
  std::uint64_t Id = Found->second;
  auto Asked = this->Confirmations.find(Id);
  if (Asked == this->Confirmations.end())
    return;
  Instant AskedAt = Asked->second;
  this->Confirmations.erase(Asked);
  ForwardedCall &Call = this->Calls.at(Id);
  // The time that the Forward stated was counted from its late arrival. The
  // confirmation may be late as well, but was sent after the question.
  Call.Deadline = deadlineFor(Confirmed.TimeLeft, AskedAt);
  if (Now - AskedAt > ConfirmationTimeout)
    this->finishCall(Id, {.Code = Outcome::NoTarget}, Now, Out);
  else if (Call.Request.WithheldBytes > 0 && Call.Request.Content->Body.empty())
    this->awaitBody(Id, Now, Out);
  else
    this->admitLate(Id, Now, Out);
}

void TargetGate::endConfirmations(Instant Now, Effects &Out) {
  std::vector<std::uint64_t> Local;
  std::vector<std::uint64_t> TimedOut;
  for (const auto &[Id, AskedAt] : this->Confirmations) {
    bool IsLocal = this->Calls.at(Id).From == this->Options.Node;
    if (IsLocal && Now - AskedAt >= LocalReadTime)
      Local.push_back(Id);
    else if (Now - AskedAt > ConfirmationTimeout)
      TimedOut.push_back(Id);
  }
  for (std::uint64_t Id : TimedOut)
    this->finishCall(Id, {.Code = Outcome::NoTarget}, Now, Out);
  for (std::uint64_t Id : Local) {
    this->Confirmations.erase(Id);
    this->admitLate(Id, Now, Out);
  }
}

} // namespace orioledoor::routing
