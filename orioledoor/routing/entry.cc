// Routing, target choice, parking and timeouts of callers' requests.
#include "orioledoor/routing/entry.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "orioledoor/routing/events.h"
#include "orioledoor/routing/internal/entry_limits.h"
#include "orioledoor/routing/internal/log_text.h"

namespace orioledoor::routing {
namespace {

using internal::DefaultRetryAfter;
using internal::LeastTryTime;
using internal::MaxBounces;
using internal::millis;
using std::chrono::milliseconds;

// Used if neither the caller nor the route states a timeout.
constexpr Duration DefaultTimeLeft = std::chrono::seconds(30);
// Reserved for the way of the answer to the caller, which is 1 to 3 ms away.
constexpr Duration CallerMargin = milliseconds(10);
// Upper limit for parking. A planned move leaves a key without an owner until
// the next owner has acknowledged it, on average half a report interval of the
// targets. A request is parked for at most half of its remaining time, so that
// its caller still has time for a retry.
constexpr Duration MaxParkTime = milliseconds(1000);
// Interval of owner lookups for a parked request, in case no owner change is
// announced before: the new owner's target learns of its keys with its next
// report.
constexpr Duration AskAgainTime = milliseconds(100);
// Retry-After while a key has no owner, and while a configuration or a target
// may be about to appear: one cycle of the store's watch plus one heartbeat.
constexpr Duration NoOwnerRetryAfter = milliseconds(600);
constexpr Duration NoTableRetryAfter = milliseconds(500);
// Typical size of an answer, used to estimate the transfer cost.
constexpr std::size_t ExpectedAnswerBytes = 2048;

// A body is withheld until the receiving node requests it if its transfer would
// occupy that node's link for longer than a round trip between failure domains.
// Small bodies are sent at once on any link.
constexpr Duration LeastWithheldTime = milliseconds(8);
constexpr std::size_t LeastWithheldBytes = 8 << 10;

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
      Owners(std::move(Owners)), Shares(this->Options.Process) {}

void EntryReducer::setTable(SharedTable Table) {
  this->Table = std::move(Table);
  this->Shares.retain(*this->Table);
  this->LongestTimeLeft.clear();
}

void EntryReducer::setCallerService(std::string Service) {
  this->Options.CallerService = std::move(Service);
}

RetryBudget &EntryReducer::budgetOf(const std::string &Service) {
  return this->Budgets.try_emplace(Service, this->Options.Budget).first->second;
}

void EntryReducer::request(CallerRequest Request, Instant Now, Effects &Out) {
  std::uint64_t Caller = Request.Caller;
  if (!this->Table) {
    this->reject(Request, 503, "find route", "no configuration is known yet",
                 NoTableRetryAfter, Out);
    return;
  }
  if (Request.AttemptId.empty()) {
    this->reject(Request, 400, "read request", "no attempt id", std::nullopt,
                 Out);
    return;
  }
  const Route *Of =
      this->Table->find(Request.Content->Host, Request.Content->Target);
  if (!Of && this->NewerTable) {
    this->reject(Request, 503, "find route",
                 "no route matches, and a newer configuration is on its way",
                 NoTableRetryAfter, Out);
    return;
  }
  if (!Of) {
    this->reject(Request, 404, "find route", "no route matches", std::nullopt,
                 Out);
    return;
  }
  Pending Added;
  Added.Table = this->Table;
  Added.Of = Of;
  Added.Service = this->Shares.pick(*Of);
  Added.Work = workOf(Added.Service, *Of);
  const ServicePolicy *Policy = this->Table->service(Added.Service);
  Added.Partitioned = Policy && Policy->Partitioned;
  if (Added.Partitioned && Request.Key == NoKey) {
    this->reject(Request, 400, "find owner", "no key is stated", std::nullopt,
                 Out);
    return;
  }
  Duration Allowed = Request.TimeLeft.value_or(DefaultTimeLeft) - CallerMargin;
  if (Of->Timeout.count() > 0)
    Allowed = std::min(Allowed, Of->Timeout);
  Added.Deadline = Request.FirstByteAt + Allowed;
  Added.LatencyEnd =
      Request.FirstByteAt +
      (Of->TargetLatency.count() > 0 ? Of->TargetLatency : Allowed);
  // A retrying caller has less time left than on its first attempt, and its
  // latency target is reduced by the difference. Calls made by targets inherit
  // the remaining time of their parent request, but they have no key and are
  // not affected.
  if (Added.Partitioned && Request.TimeLeft) {
    Duration &Longest = this->LongestTimeLeft[Of->Host + Of->Prefix];
    Longest = std::max(Longest, *Request.TimeLeft);
    Added.LatencyEnd = Added.LatencyEnd - (Longest - *Request.TimeLeft);
  }
  Added.Request = std::move(Request);
  this->budgetOf(Added.Service).noteRequest();
  Pending &Kept = this->Open[Caller] = std::move(Added);
  this->dispatch(Kept, Now, Out);
}

void EntryReducer::reject(const CallerRequest &Request, int Status,
                          std::string_view Step, std::string_view Why,
                          std::optional<Duration> RetryAfter, Effects &Out) {
  Out.push_back(LogRecord{
      &events::RequestRefused,
      {{"request", Request.AttemptId},
       {"why", std::string(Why)},
       {"status", std::to_string(Status)},
       {"config", std::to_string(this->Table ? this->Table->Version : 0)}}});
  this->finish(Request.Caller, ownAnswer(Status, Step, Why, RetryAfter), Out);
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
                    .Work = Of.Work,
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
                  .Work = Of.Work,
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
  // Status 503 would promise that no target has run the request.
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
