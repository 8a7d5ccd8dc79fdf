// Sends requests and checks their results.
#include "orioledoor/soak/soak_load.h"

#include <algorithm>
#include <string_view>

#include "orioledoor/platform/names.h"
#include "orioledoor/soak/soak_checker.h"
#include "orioledoor/soak/soak_fleet.h"
#include "orioledoor/wire/http_client.h"

namespace orioledoor::soak {
namespace {

using std::chrono::milliseconds;

// Share of the callers that leave, and the longest time until they do.
constexpr int LeavePercent = 25;
constexpr int MaxMillisUntilLeave = 600;
// Longer steps may mean that this process observes events late.
constexpr Duration MaxStepTime = milliseconds(100);
// Time after the deadline within which a request must be answered.
constexpr Duration AnswerMargin = milliseconds(1000);

bool isNotExecutedStatus(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

SoakLoad::SoakLoad(SoakFleet &Fleet, SoakChecker &Checker,
                   SoakLoadOptions Options)
    : Fleet(Fleet), Checker(Checker), Random(Options.Seed),
      DepartureRandom(Options.Seed + 1), Options(Options) {}

void SoakLoad::checkLost(const PendingRequest &Request, Instant Now) {
  if (!this->Options.ChecksLost)
    return;
  if (Now - Request.At < this->Options.RequestTimeout * 7 / 10)
    this->Checker.recordUnanswered(Request.Attempt, Now);
  else
    this->Checker.recordTimedOut(Request.Attempt, Now);
}

void SoakLoad::resetCounts() {
  this->Counts = {};
  this->ServedKeys.clear();
}

void SoakLoad::letCallersLeave(Instant Now) {
  if (Now - this->LastStepAt > MaxStepTime)
    this->Checker.excuseDepartures(Now);
  while (!this->Departures.empty() && this->Departures.begin()->first <= Now) {
    Departure Next = std::move(this->Departures.begin()->second);
    this->Departures.erase(this->Departures.begin());
    if (this->OpenRequests.erase(Next.Attempt) == 0)
      continue;
    this->Fleet.client().cancel(Next.Call);
    ++this->Counts.Left;
    // A fault of the link may keep the close from the node.
    if (Now > this->Fleet.node(Next.Node).LocalFaultUntil)
      this->Checker.recordDeparture(Next.Attempt, Now);
  }
}

void SoakLoad::step(Instant Now) {
  this->letCallersLeave(Now);
  this->LastStepAt = Now;
  for (int I = 0; I < this->Options.RequestsPerStep && !this->Stopped; ++I)
    this->send(Now);
}

void SoakLoad::send(Instant Now) {
  PendingRequest Request{.Attempt = std::to_string(this->Options.Seed) + "-" +
                                    std::to_string(++this->LastAttempt),
                         .Node = this->Random() % this->Fleet.size(),
                         .At = Now};
  wire::HttpCall Call{.Server = this->Fleet.node(Request.Node).Outbound,
                      .Method = "GET",
                      .Target = "/read/x",
                      .Host = Host,
                      .Timeout = this->Options.RequestTimeout + AnswerMargin};
  std::string Body;
  switch (this->Random() % 4) {
  case 0:
    Call.Method = "POST";
    // Each request has a query and a body of its own, so that mixed ones show.
    Call.Target = "/write/x?attempt=" + Request.Attempt + "&q=a?b";
    Body.assign(1 + this->Random() % 20'000, 'x');
    Body += Request.Attempt;
    break;
  case 1:
    break;
  default:
    // Round-robin, so that each key is requested within 2 s.
    Request.Key = static_cast<std::int64_t>(this->NextKey++ % KeyCount);
    Call.Target = "/keyed/x";
    Call.Headers.push_back(
        {platform::names::ShardKey,
         std::to_string(Request.Key * sidecar::testing::SampleStep)});
  }
  Call.Body = Body;
  Call.Headers.push_back({platform::names::AttemptId, Request.Attempt});
  Call.Headers.push_back(
      {platform::names::DeadlineRemaining,
       std::to_string(this->Options.RequestTimeout.count())});
  // The router replaces what callers send.
  Call.Headers.push_back({platform::names::CallerService, "forged"});
  const SoakNode &Node = this->Fleet.node(Request.Node);
  this->Checker.recordSent(Node.Name, Request.Attempt,
                           {.Method = Call.Method,
                            .Target = Call.Target,
                            .Body = Body,
                            .CallerService = Node.Target->service()},
                           Now);
  ++this->Counts.Sent;
  this->OpenRequests.insert(Request.Attempt);
  std::uint64_t Id = this->Fleet.client().call(
      Call, [this, Request](const wire::HttpResult &Result) {
        this->onResult(Request, Result);
      });
  std::uniform_int_distribution Percent(0, 99);
  std::uniform_int_distribution Millis(0, MaxMillisUntilLeave);
  // Counted requests of a planned stop must not be cut, so their callers stay.
  if (!this->Options.ChecksLost &&
      Percent(this->DepartureRandom) < LeavePercent)
    this->Departures.emplace(Now + milliseconds(Millis(this->DepartureRandom)),
                             Departure{.Call = Id,
                                       .Attempt = Request.Attempt,
                                       .Node = Request.Node});
}

void SoakLoad::onResult(const PendingRequest &Request,
                        const wire::HttpResult &Result) {
  this->OpenRequests.erase(Request.Attempt);
  Instant Now = readClock();
  if (Result.Failure) {
    ++this->Counts.Broken;
    this->checkLost(Request, Now);
    const SoakNode &Node = this->Fleet.node(Request.Node);
    if (*Result.Failure == requests::TargetFailure::TimedOut &&
        Node.DisturbedUntil < Request.At)
      this->Checker.addViolation(
          "HANG", Request.Attempt + " got no answer from " + Node.Name, Now);
    return;
  }
  int Status = Result.Answer.Status;
  auto HeaderValue = [&Result](std::string_view Name) {
    auto Found =
        std::ranges::find(Result.Answer.Headers, Name, &requests::Header::Name);
    return Found == Result.Answer.Headers.end() ? std::string() : Found->Value;
  };
  std::string Signature = HeaderValue(platform::names::ServerSignature);
  bool HasServerSignature = !Signature.empty();
  if (HasServerSignature && HeaderValue(platform::names::ServerLeaving) == "1")
    this->Checker.recordLeavingAnswer(this->Fleet.node(Request.Node).Name,
                                      Signature, Now);
  if (Status == 200 && HasServerSignature) {
    if (Result.Answer.Body != Request.Attempt)
      this->Checker.addViolation(
          "MIXED", Request.Attempt + " got the answer " + Result.Answer.Body,
          Now);
    ++this->Counts.Served;
    if (Request.Key >= 0)
      this->ServedKeys.insert(Request.Key);
  } else if (isNotExecutedStatus(Status)) {
    ++this->Counts.Refused;
    this->Checker.recordRejection(Request.Attempt, Now);
  } else {
    if (!HasServerSignature)
      this->checkLost(Request, Now);
    ++this->Counts.Failed;
  }
}

} // namespace orioledoor::soak
