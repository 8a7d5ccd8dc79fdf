// Sends requests and judges their ends.
#include "orioledoor/soak/soak_load.h"

#include "orioledoor/platform/names.h"
#include "orioledoor/soak/soak_fleet.h"
#include "orioledoor/soak/soak_judge.h"
#include "orioledoor/wire/http_client.h"

namespace orioledoor::soak {
namespace {

using std::chrono::milliseconds;

// Each step of 20 ms; 150 requests a second.
constexpr int RequestsPerStep = 3;
constexpr milliseconds Deadline(1200);
// A caller that gets nothing for this much longer was forgotten.
constexpr Duration Patience = milliseconds(1000);

bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

SoakLoad::SoakLoad(SoakFleet &Fleet, SoakJudge &Judge, std::uint64_t Seed)
    : Fleet(Fleet), Judge(Judge), Random(Seed), Prefix(Seed) {}

void SoakLoad::reset() {
  this->Counts = {};
  this->KeysServed.clear();
}

void SoakLoad::step(Instant Now) {
  for (int I = 0; I < RequestsPerStep && !this->Stopped; ++I)
    this->send(Now);
}

void SoakLoad::send(Instant Now) {
  Sent Of{.Attempt =
              std::to_string(this->Prefix) + "-" + std::to_string(++this->Last),
          .Node = this->Random() % this->Fleet.size(),
          .At = Now};
  wire::HttpCall Call{.Server = this->Fleet.node(Of.Node).Outbound,
                      .Method = "GET",
                      .Target = "/read/x",
                      .Host = Host,
                      .Timeout = Deadline + Patience};
  std::string Body;
  switch (this->Random() % 4) {
  case 0:
    Call.Method = "POST";
    Call.Target = "/write/x";
    Body.assign(1 + this->Random() % 20'000, 'x');
    break;
  case 1:
    break;
  default:
    // In turn, so that each is asked for within two seconds.
    Of.Key = static_cast<std::int64_t>(this->LastKey++ % Keys);
    Call.Target = "/keyed/x";
    Call.Headers.push_back(
        {platform::names::ShardKey,
         std::to_string(Of.Key * sidecar::testing::SampleStep)});
  }
  Call.Body = Body;
  Call.Headers.push_back({platform::names::AttemptId, Of.Attempt});
  Call.Headers.push_back(
      {platform::names::DeadlineRemaining, std::to_string(Deadline.count())});
  ++this->Counts.Sent;
  ++this->Open;
  this->Fleet.client().call(Call, [this, Of](const wire::HttpResult &Result) {
    this->ended(Of, Result);
  });
}

void SoakLoad::ended(const Sent &Of, const wire::HttpResult &Result) {
  --this->Open;
  Instant Now = readClock();
  if (Result.Failure) {
    ++this->Counts.Broken;
    const SoakNode &Node = this->Fleet.node(Of.Node);
    if (*Result.Failure == requests::TargetFailure::TimedOut &&
        Node.DisturbedUntil < Of.At)
      this->Judge.note("HANG", Of.Attempt + " got no answer from " + Node.Name,
                       Now);
    return;
  }
  int Status = Result.Answer.Status;
  bool Signed = false;
  for (const requests::Header &Each : Result.Answer.Headers)
    Signed |= Each.Name == platform::names::ServerSignature;
  if (Status == 200 && Signed) {
    if (Result.Answer.Body != Of.Attempt)
      this->Judge.note(
          "MIXED", Of.Attempt + " got the answer " + Result.Answer.Body, Now);
    ++this->Counts.Served;
    if (Of.Key >= 0)
      this->KeysServed.insert(Of.Key);
  } else if (promisesNotRun(Status)) {
    ++this->Counts.Refused;
    this->Judge.refused(Of.Attempt, Now);
  } else {
    ++this->Counts.Failed;
  }
}

} // namespace orioledoor::soak
