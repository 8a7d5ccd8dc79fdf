// Routes, forwards, retries and ends the requests of callers.
#include "orioledoor/routing/entry.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "orioledoor/routing/events.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;

// Without a stated deadline and route timeout.
constexpr Duration DefaultTimeLeft = std::chrono::seconds(30);
// The answer must reach the caller before its time is over; callers are 1 to
// 3 ms away.
constexpr Duration CallerMargin = milliseconds(10);
// A try with less time left cannot be answered: a message crosses regions and
// back in 16 ms, and the shortest work takes about as long.
constexpr Duration LeastTryTime = milliseconds(30);
// A planned move interrupts a key until its next owner has answered for it,
// half a report interval of the targets on average. No request waits longer
// than half of its time, so that its caller can still come back.
constexpr Duration MaxParkTime = milliseconds(1000);
// A parked request asks again this often, if no change of the owners comes
// first: the new owner's target learns of its keys with its next report.
constexpr Duration AskAgainTime = milliseconds(100);
// Nodes that may refuse a request before its caller is told to come back.
constexpr int MaxBounces = 3;
// When a key without an owner may be served again, and when a configuration or
// a target may have come: one turn of the store's watch and a heartbeat.
constexpr Duration NoOwnerRetryAfter = milliseconds(600);
constexpr Duration NoTableRetryAfter = milliseconds(500);
constexpr Duration DefaultRetryAfter = milliseconds(250);
// Answers of ready targets are of about this size.
constexpr std::size_t ExpectedAnswerBytes = 2048;

// A body is sent when the gate asks for it, if it would hold the target's link
// for longer than the question takes between failure domains. Small ones are
// not worth a question on any link.
constexpr Duration LeastWithheldTime = milliseconds(8);
constexpr std::size_t LeastWithheldBytes = 8 << 10;

std::string millis(Duration Of) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(Of).count());
}

std::string seconds(Duration Of) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.3f",
                static_cast<double>(Of.count()) / 1e6);
  return Text;
}

SharedContent withoutBody(const RequestContent &Of) {
  auto Head = std::make_shared<RequestContent>();
  Head->Method = Of.Method;
  Head->Target = Of.Target;
  Head->Host = Of.Host;
  Head->Headers = Of.Headers;
  return Head;
}

bool isOwnFailure(int Status) { return Status == 500 || Status == 503; }

} // namespace

HttpAnswer ownAnswer(int Status, std::string_view Step, std::string_view Why,
                     std::optional<Duration> RetryAfter) {
  HttpAnswer Answer;
  Answer.Status = Status;
  Answer.Headers.push_back({"Content-Type", "application/json"});
  if (RetryAfter)
    Answer.Headers.push_back({"Retry-After", seconds(*RetryAfter)});
  Answer.Body = R"({"step":")" + std::string(Step) + R"(","message":")" +
                std::string(Why) + "\"}\n";
  return Answer;
}

EntryReducer::EntryReducer(EntryOptions Options, TargetDirectory &Directory,
                           OwnerLookup Owners)
    : Options(std::move(Options)), Directory(Directory),
      Owners(std::move(Owners)) {}

void EntryReducer::setTable(SharedTable Table) {
  this->Table = std::move(Table);
  this->Credits.clear();
  this->LongestTimeLeft.clear();
}

void EntryReducer::setCallerService(std::string Service) {
  this->Options.CallerService = std::move(Service);
}

RetryBudget &EntryReducer::budgetOf(const std::string &Service) {
  return this->Budgets.try_emplace(Service, this->Options.Budget).first->second;
}

const std::string &EntryReducer::pickService(const Route &Of) {
  if (Of.Services.size() == 1)
    return Of.Services.front().Service;
  std::vector<double> &Owed = this->Credits[Of.Host + Of.Prefix];
  Owed.resize(Of.Services.size());
  double Sum = 0;
  for (std::size_t I = 0; I < Owed.size(); ++I) {
    Owed[I] += Of.Services[I].Weight;
    Sum += Of.Services[I].Weight;
  }
  auto Best = std::ranges::max_element(Owed);
  *Best -= Sum;
  return Of.Services[static_cast<std::size_t>(Best - Owed.begin())].Service;
}

void EntryReducer::request(CallerRequest Request, Instant Now, Effects &Out) {
  std::uint64_t Caller = Request.Caller;
  if (!this->Table) {
    this->finish(Caller,
                 ownAnswer(503, "find route", "no configuration is known yet",
                           NoTableRetryAfter),
                 Out);
    return;
  }
  if (Request.AttemptId.empty()) {
    this->finish(Caller, ownAnswer(400, "read request", "no attempt id"), Out);
    return;
  }
  const Route *Of =
      this->Table->find(Request.Content->Host, Request.Content->Target);
  if (!Of) {
    Out.push_back(
        LogRecord{&events::RequestRefused,
                  {{"request", Request.AttemptId},
                   {"why", "no route"},
                   {"config", std::to_string(this->Table->Version)}}});
    this->finish(Caller, ownAnswer(404, "find route", "no route matches"), Out);
    return;
  }
  Pending Added;
  Added.Table = this->Table;
  Added.Of = Of;
  Added.Service = this->pickService(*Of);
  const ServicePolicy *Policy = this->Table->service(Added.Service);
  Added.Partitioned = Policy && Policy->Partitioned;
  Duration Allowed = Request.TimeLeft.value_or(DefaultTimeLeft) - CallerMargin;
  if (Of->Timeout.count() > 0)
    Allowed = std::min(Allowed, Of->Timeout);
  Added.Deadline = Request.FirstByteAt + Allowed;
  Added.LatencyEnd =
      Request.FirstByteAt +
      (Of->TargetLatency.count() > 0 ? Of->TargetLatency : Allowed);
  // A caller that comes back has less time left than one that comes first. The
  // calls of targets inherit what is left of their parents, but have no key.
  if (Added.Partitioned && Request.TimeLeft) {
    Duration &Longest = this->LongestTimeLeft[Of->Host + Of->Prefix];
    Longest = std::max(Longest, *Request.TimeLeft);
    Added.LatencyEnd = Added.LatencyEnd - (Longest - *Request.TimeLeft);
  }
  Added.Request = std::move(Request);
  this->budgetOf(Added.Service).noteRequest();
  Pending &Kept = this->Open[Caller] = std::move(Added);
  if (Kept.Partitioned && Kept.Request.Key == NoKey) {
    this->finish(Caller, ownAnswer(400, "find owner", "no key is stated"), Out);
    return;
  }
  this->dispatch(Kept, Now, Out);
}

void EntryReducer::dispatch(Pending &Of, Instant Now, Effects &Out) {
  if (Of.Deadline - Now < LeastTryTime) {
    if (Of.MayHaveRun)
      this->fail(Of, 504, "no time is left for another try", Now, Out);
    else
      this->refuse(Of, "no time is left", DefaultRetryAfter, Now, Out);
    return;
  }
  if (Of.Partitioned) {
    KeyOwner Owner = this->Owners(Of.Service, Of.Request.Key);
    const TargetView *View = this->Directory.find(Owner.Node);
    if (View && Now < View->SuspectUntil)
      this->refuse(Of, "the owner's node is unreachable", NoOwnerRetryAfter,
                   Now, Out);
    else if (!Owner.Node.empty())
      this->send(Of, Owner.Node, true, Now, Out);
    else if (Owner.Moving)
      this->park(Of, Now, Out);
    else
      this->refuse(Of, "the key has no owner", NoOwnerRetryAfter, Now, Out);
    return;
  }
  ChoiceInput Input{.Service = Of.Service,
                    .Work = workOf(Of.Service, *Of.Of),
                    .Bytes =
                        Of.Request.Content->Body.size() + ExpectedAnswerBytes,
                    .Excluded = Of.Tried};
  TargetChoice Choice = this->Directory.choose(Input, Now);
  if (!Choice.Node) {
    if (Of.LastAnswer)
      this->finish(Of.Request.Caller, std::move(*Of.LastAnswer), Out);
    else if (Of.MayHaveRun)
      this->fail(Of, 502, "no other target is left", Now, Out);
    else
      this->refuse(Of, "no target has room",
                   Of.RetryAfter.count() > 0 ? Of.RetryAfter
                                             : DefaultRetryAfter,
                   Now, Out);
    return;
  }
  bool LastChoice = Of.Bounces + 1 >= MaxBounces ||
                    this->Directory.countReady(Of.Service, Of.Tried) <= 1;
  this->send(Of, *Choice.Node, LastChoice, Now, Out, Choice.NextCostsMore);
}

void EntryReducer::send(Pending &Of, const std::string &To, bool LastChoice,
                        Instant Now, Effects &Out, Duration WorthwhileWait) {
  Of.At = To;
  Of.ForwardId = this->NextForward++;
  Of.Resumed = false;
  Of.SentAt = Now;
  const TargetView *Known = this->Directory.find(To);
  Of.Receiver = Known ? Known->Status.Process : 0;
  std::size_t BodyBytes = Of.Request.Content->Body.size();
  Of.BodyWithheld = Known && To != this->Options.Node &&
                    BodyBytes >= LeastWithheldBytes &&
                    Known->transferTime(BodyBytes) >= LeastWithheldTime;
  Of.Tried.push_back(To);
  this->ByForward[Of.ForwardId] = Of.Request.Caller;
  this->Directory.noteSent(To);
  Out.push_back(SendMessage{
      To, Forward{.Id = Of.ForwardId,
                  .Process = this->Options.Process,
                  .Service = Of.Service,
                  .AttemptId = Of.Request.AttemptId,
                  .CallerService = this->Options.CallerService,
                  .TimeLeft = Of.Deadline - Now,
                  .LatencyLeft = Of.LatencyEnd - Now,
                  .Key = Of.Partitioned ? Of.Request.Key : NoKey,
                  .Priority = static_cast<std::uint8_t>(
                      std::clamp(Of.Of->Priority, 0, 255)),
                  .Idempotent = Of.Of->Idempotent,
                  .LastChoice = LastChoice,
                  .WorthwhileWait = WorthwhileWait,
                  .Work = workOf(Of.Service, *Of.Of),
                  .WithheldBytes = Of.BodyWithheld ? BodyBytes : 0,
                  .Content = Of.BodyWithheld ? withoutBody(*Of.Request.Content)
                                             : Of.Request.Content}});
}

void EntryReducer::park(Pending &Of, Instant Now, Effects &Out) {
  Of.AskAt = Now + AskAgainTime;
  if (Of.ParkUntil == Instant()) {
    Of.ParkUntil = Now + std::min(MaxParkTime, (Of.Deadline - Now) / 2);
    Out.push_back(LogRecord{&events::RequestParked,
                            {{"request", Of.Request.AttemptId},
                             {"key", std::to_string(Of.Request.Key)},
                             {"for_ms", millis(Of.ParkUntil - Now)}}});
  }
  if (Now >= Of.ParkUntil)
    this->refuse(Of, "the key changes hands", NoOwnerRetryAfter, Now, Out);
}

void EntryReducer::leaveTarget(Pending &Of) {
  if (Of.At.empty())
    return;
  this->Directory.noteEnded(Of.At);
  this->ByForward.erase(Of.ForwardId);
  Of.At.clear();
}

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
    // A key has one owner: nobody else has room for it.
    Again = !Of.Partitioned && ++Of.Bounces < MaxBounces;
    break;
  case Outcome::NoTarget:
    // The owner of a key is the only one that may have it.
    Again = ++Of.Bounces < MaxBounces + 2 &&
            (!Of.Partitioned ||
             this->Owners(Of.Service, Of.Request.Key).Node != Of.Tried.back());
    break;
  case Outcome::NotOwner:
    this->park(Of, Now, Out);
    return;
  case Outcome::Refused:
    // The request arrived at a target, so a further one costs budget.
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
    // Nobody knows whether it runs. One that must not run twice waits on.
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
    // The answer to a request that must not run twice may still come over a
    // new connection, as long as the node's process lives.
    if (!Ended && !Of.Of->Idempotent)
      continue;
    Out.push_back(
        SendMessage{Node, CancelForward{Of.ForwardId, this->Options.Process}});
    this->leaveTarget(Of);
    this->handleLost(Of, "the connection to the target's node broke", Now, Out);
  }
}

void EntryReducer::ownersChanged(Instant Now, Effects &Out) {
  std::vector<std::uint64_t> Parked;
  for (const auto &[Caller, Of] : this->Open)
    if (Of.At.empty())
      Parked.push_back(Caller);
  std::ranges::sort(Parked);
  for (std::uint64_t Caller : Parked)
    this->dispatch(this->Open.at(Caller), Now, Out);
}

void EntryReducer::tick(Instant Now, Effects &Out) {
  std::vector<std::uint64_t> Overdue;
  std::vector<std::uint64_t> Parked;
  for (const auto &[Caller, Of] : this->Open)
    if (Now >= Of.Deadline)
      Overdue.push_back(Caller);
    else if (Of.At.empty() && Now >= Of.AskAt)
      Parked.push_back(Caller);
  std::ranges::sort(Overdue);
  std::ranges::sort(Parked);
  for (std::uint64_t Caller : Overdue) {
    Pending &Of = this->Open.at(Caller);
    if (!Of.At.empty()) {
      Out.push_back(SendMessage{
          Of.At, CancelForward{Of.ForwardId, this->Options.Process}});
      Of.MayHaveRun |= !Of.BodyWithheld;
    }
    if (Of.MayHaveRun)
      this->fail(Of, 504, "no answer in time", Now, Out);
    else
      this->refuse(Of, "no time is left", DefaultRetryAfter, Now, Out);
  }
  for (std::uint64_t Caller : Parked) {
    Pending &Of = this->Open.at(Caller);
    if (Now >= Of.ParkUntil)
      this->refuse(Of, "the key changes hands", NoOwnerRetryAfter, Now, Out);
    else
      this->dispatch(Of, Now, Out);
  }
}

void EntryReducer::callerGone(std::uint64_t Caller, Instant, Effects &Out) {
  auto Found = this->Open.find(Caller);
  if (Found == this->Open.end())
    return;
  Pending &Of = Found->second;
  Out.push_back(LogRecord{&events::CallerLeft,
                          {{"request", Of.Request.AttemptId}, {"at", Of.At}}});
  if (!Of.At.empty())
    Out.push_back(
        SendMessage{Of.At, CancelForward{Of.ForwardId, this->Options.Process}});
  this->leaveTarget(Of);
  this->Open.erase(Found);
}

void EntryReducer::finish(std::uint64_t Caller, HttpAnswer Answer,
                          Effects &Out) {
  if (auto Found = this->Open.find(Caller); Found != this->Open.end()) {
    this->leaveTarget(Found->second);
    this->Open.erase(Found);
  }
  Out.push_back(ReplyToCaller{Caller, std::move(Answer)});
}

void EntryReducer::refuse(Pending &Of, std::string_view Why,
                          Duration RetryAfter, Instant Now, Effects &Out) {
  // 503 would say that no target has run it.
  if (Of.MayHaveRun) {
    this->fail(Of, 502, Why, Now, Out);
    return;
  }
  Out.push_back(LogRecord{&events::RequestRefused,
                          {{"request", Of.Request.AttemptId},
                           {"service", Of.Service},
                           {"why", std::string(Why)},
                           {"tried", std::to_string(Of.Tried.size())},
                           {"retry_after_ms", millis(RetryAfter)},
                           {"took_ms", millis(Now - Of.Request.FirstByteAt)},
                           {"config", std::to_string(Of.Table->Version)}}});
  this->finish(Of.Request.Caller,
               ownAnswer(503, "forward request", Why, RetryAfter), Out);
}

void EntryReducer::fail(Pending &Of, int Status, std::string_view Why,
                        Instant Now, Effects &Out) {
  Out.push_back(LogRecord{&events::RequestFailed,
                          {{"request", Of.Request.AttemptId},
                           {"service", Of.Service},
                           {"status", std::to_string(Status)},
                           {"why", std::string(Why)},
                           {"at", Of.At},
                           {"sends", std::to_string(Of.Sends)},
                           {"took_ms", millis(Now - Of.Request.FirstByteAt)}}});
  this->finish(Of.Request.Caller, ownAnswer(Status, "forward request", Why),
               Out);
}

} // namespace orioledoor::routing
