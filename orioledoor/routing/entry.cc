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
using internal::MaxRefusals;
using internal::millis;
using internal::MinAttemptTime;
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
constexpr Duration OwnerLookupInterval = milliseconds(100);
// Retry-After while a key has no owner, and while a configuration or a target
// may be about to appear: one cycle of the store's watch plus one heartbeat.
constexpr Duration NoOwnerRetryAfter = milliseconds(600);
constexpr Duration NoTableRetryAfter = milliseconds(500);
// Stands for the target latency of a route without one when a target is chosen.
// Its requests would otherwise queue in their failure domain for half of their
// timeout, which may be 30 s, while other targets are idle.
constexpr Duration UnstatedLatency = milliseconds(1000);

// A body is withheld until the receiving node requests it if its transfer would
// occupy that node's link for longer than a round trip between failure domains.
// Small bodies are sent at once on any link.
constexpr Duration MinWithheldTransferTime = milliseconds(8);
constexpr std::size_t MinWithheldBytes = 8 << 10;

std::string seconds(Duration Value) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.3f",
                static_cast<double>(Value.count()) / 1e6);
  return Text;
}

SharedContent withoutBody(const RequestContent &Content) {
  auto Head = std::make_shared<RequestContent>();
  Head->Method = Content.Method;
  Head->Target = Content.Target;
  Head->Host = Content.Host;
  Head->Headers = Content.Headers;
  return Head;
}

} // namespace

HttpAnswer makeErrorAnswer(int Status, std::string_view Step,
                           std::string_view Reason,
                           std::optional<Duration> RetryAfter) {
  HttpAnswer Answer;
  Answer.Status = Status;
  Answer.Headers.push_back({"Content-Type", "application/json"});
  if (RetryAfter)
    Answer.Headers.push_back({"Retry-After", seconds(*RetryAfter)});
  Answer.Body = R"({"step":")" + std::string(Step) + R"(","message":")" +
                std::string(Reason) + "\"}\n";
  return Answer;
}

EntryReducer::EntryReducer(EntryOptions Options, TargetDirectory &Directory,
                           OwnerLookup LookUpOwner)
    : Options(std::move(Options)), Directory(Directory),
      LookUpOwner(std::move(LookUpOwner)), Budgets(this->Options.Budget),
      HotKeys(this->Options.Process), Shares(this->Options.Process),
      Random(this->Options.Process) {}

void EntryReducer::setTable(SharedRouteTable Table) {
  this->Table = std::move(Table);
  this->Shares.retain(*this->Table);
  this->MaxTimeLeftByRoute.clear();
  this->CallClasses.clear();
  std::erase_if(this->Rooms, [this](const auto &Entry) {
    return !this->Table->service(Entry.first.first);
  });
}

void EntryReducer::limitDeadlines(Instant Latest) {
  this->LatestDeadline = Latest;
  for (auto &[Caller, Pending] : this->PendingRequests)
    Pending.Deadline = std::min(Pending.Deadline, Latest);
}

void EntryReducer::handleRequest(CallerRequest Request, Instant Now,
                                 Effects &Out) {
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
  const Route *Matched =
      this->Table->find(Request.Content->Host, Request.Content->Target);
  if (!Matched && this->NewerTableKnown) {
    this->reject(Request, 503, "find route",
                 "no route matches, and a newer configuration is on its way",
                 NoTableRetryAfter, Out);
    return;
  }
  if (!Matched) {
    this->reject(Request, 404, "find route", "no route matches", std::nullopt,
                 Out);
    return;
  }
  PendingRequest Added;
  Added.Table = this->Table;
  Added.MatchedRoute = Matched;
  Added.Service = this->Shares.pick(*Matched);
  Added.RequestClass = requestClassOf(Added.Service, *Matched);
  const ServicePolicy *Policy = this->Table->service(Added.Service);
  Added.Partitioned = Policy && Policy->Partitioned;
  if (Added.Partitioned && Request.Key == NoKey) {
    this->reject(Request, 400, "find owner", "no key is stated", std::nullopt,
                 Out);
    return;
  }
  Duration Allowed = Request.TimeLeft.value_or(DefaultTimeLeft) - CallerMargin;
  if (Matched->Timeout.count() > 0)
    Allowed = std::min(Allowed, Matched->Timeout);
  Added.Deadline = Request.FirstByteAt + Allowed;
  if (this->LatestDeadline)
    Added.Deadline = std::min(Added.Deadline, *this->LatestDeadline);
  Added.LatencyDeadline =
      Request.FirstByteAt +
      (Matched->TargetLatency.count() > 0 ? Matched->TargetLatency : Allowed);
  // A retrying caller has less time left than on its first attempt, and its
  // latency target is reduced by the difference. Calls made by targets inherit
  // the remaining time of their parent request, but they have no key and are
  // not affected.
  if (Added.Partitioned && Request.TimeLeft) {
    Duration &MaxTimeLeft =
        this->MaxTimeLeftByRoute[Matched->Host + Matched->Prefix];
    MaxTimeLeft = std::max(MaxTimeLeft, *Request.TimeLeft);
    Added.LatencyDeadline =
        Added.LatencyDeadline - (MaxTimeLeft - *Request.TimeLeft);
  }
  Added.Request = std::move(Request);
  if (this->refuseEarly(Added, Now, Out))
    return;
  if (double Share = this->inheritedRepeatShare(Added, Now); Share > 0) {
    this->Budgets.chargeInherited(Added.Service, Share, Now);
    Added.InheritedRepeatPercent = static_cast<std::uint8_t>(Share * 100);
  }
  PendingRequest &Stored = this->PendingRequests[Caller] = std::move(Added);
  this->dispatch(Stored, Now, Out);
}

void EntryReducer::reject(const CallerRequest &Request, int Status,
                          std::string_view Step, std::string_view Reason,
                          std::optional<Duration> RetryAfter, Effects &Out) {
  Out.push_back(LogRecord{
      &events::RequestRefused,
      {{"request", Request.AttemptId},
       {"why", std::string(Reason)},
       {"status", std::to_string(Status)},
       {"config", std::to_string(this->Table ? this->Table->Version : 0)}}});
  this->finish(Request.Caller,
               makeErrorAnswer(Status, Step, Reason, RetryAfter), Out);
}

std::span<const std::string>
EntryReducer::allowedRegions(const PendingRequest &Pending) const {
  const Route *Newer = nullptr;
  if (this->Table && Pending.Table != this->Table)
    Newer = this->Table->find(Pending.Request.Content->Host,
                              Pending.Request.Content->Target);
  return (Newer ? Newer : Pending.MatchedRoute)->AllowedRegions;
}

std::string_view
EntryReducer::reasonForNoTarget(const PendingRequest &Pending) {
  std::span<const std::string> Regions = this->allowedRegions(Pending);
  if (Regions.empty() ||
      this->Directory.countReady(
          {.Service = Pending.Service, .AllowedRegions = Regions}, 1) > 0)
    return "no target has room";
  ++this->PlacementRefusals;
  return "no target in an allowed region is ready";
}

void EntryReducer::dispatch(PendingRequest &Pending, Instant Now,
                            Effects &Out) {
  if (Pending.Deadline - Now < MinAttemptTime) {
    if (Pending.MayHaveRun)
      this->fail(Pending, 504, FailureCause::Deadline,
                 "no time is left for another try", Now, Out);
    else
      this->refuse(Pending, "no time is left", DefaultRetryAfter, Now, Out);
    return;
  }
  if (Pending.Partitioned) {
    KeyOwner Owner = this->LookUpOwner(Pending.Service, Pending.Request.Key);
    Pending.KeyMapRevision = Owner.MapRevision;
    const TargetView *View = this->Directory.find(Owner.Node);
    PlacementVerdict Placement =
        Owner.Node.empty()
            ? PlacementVerdict::Allowed
            : this->Directory.checkOwner(Owner.Node,
                                         this->allowedRegions(Pending), Now);
    if (Placement == PlacementVerdict::RegionNotAllowed) {
      ++this->PlacementRefusals;
      this->refuse(Pending,
                   "the owner of the key is in a region that is not allowed",
                   NoOwnerRetryAfter, Now, Out);
      return;
    }
    bool Evacuated = Placement == PlacementVerdict::Evacuated;
    bool Leaves = Evacuated || this->Directory.hasDrained(Owner.Target, Now);
    if (View && Now < View->AvoidUntil)
      this->refuse(Pending, "the owner's node is unreachable",
                   NoOwnerRetryAfter, Now, Out);
    else if (!Owner.Node.empty() && !Leaves) {
      if (!this->refuseHotKey(Pending, Now, Out))
        this->send(Pending, Owner.Node, true, Now, Out);
    } else if (Owner.Moving)
      this->park(Pending, Now, Out);
    else
      this->refuse(Pending,
                   Evacuated ? "the owner of the key is evacuated"
                   : Leaves  ? "the owner of the key is leaving"
                             : "the key has no owner",
                   NoOwnerRetryAfter, Now, Out);
    return;
  }
  ChoiceInput Input{
      .Service = Pending.Service,
      .RequestClass = Pending.RequestClass,
      .Bytes = Pending.Request.Content->Body.size(),
      .AnswerBytes =
          this->Sizes.meanOf(Pending.RequestClass, ExpectedAnswerBytes),
      .TargetLatency =
          Pending.MatchedRoute->TargetLatency.count() > 0
              ? Pending.MatchedRoute->TargetLatency
              : std::min(UnstatedLatency,
                         Pending.Deadline - Pending.Request.FirstByteAt),
      .Refusals = Pending.Refusals,
      .Excluded = Pending.TriedNodes,
      .AllowedRegions = this->allowedRegions(Pending)};
  TargetChoice Choice = this->Directory.choose(Input, Now);
  this->logSpill(Pending, Choice, Out);
  if (!Choice.Node) {
    if (Pending.LastAnswer && Pending.Unresolved.empty())
      this->finish(Pending.Request.Caller, std::move(*Pending.LastAnswer), Out);
    else if (Pending.MayHaveRun)
      this->fail(Pending, 502, FailureCause::NoRetry, "no other target is left",
                 Now, Out);
    else if (Pending.Busy) {
      this->noteRefusedByTargets(Pending, Now);
      this->refuseForRoom(Pending, "no target has room", Pending.RetryAfter,
                          Now, Out);
    } else
      this->refuse(Pending, this->reasonForNoTarget(Pending),
                   Pending.RetryAfter.count() > 0 ? Pending.RetryAfter
                                                  : DefaultRetryAfter,
                   Now, Out);
    return;
  }
  bool LastChoice = Pending.Refusals + 1 >= MaxRefusals ||
                    this->Directory.countReady(Input, 2) <= 1;
  this->send(Pending, *Choice.Node, LastChoice, Now, Out, Choice.CostGapToNext);
}

void EntryReducer::logSpill(const PendingRequest &Pending,
                            const TargetChoice &Choice, Effects &Out) const {
  for (const std::optional<SpillStep> &Step : Choice.Steps)
    if (Step && (Step->From == 0 || Step->To == 0))
      Out.push_back(LogRecord{Step->From == 0 ? &events::SpillStarted
                                              : &events::SpillEnded,
                              {{"service", Pending.Service},
                               {"route", Pending.MatchedRoute->Name},
                               {"boundary", boundaryName(Step->Boundary)},
                               {"here_ms", millis(Step->Here)},
                               {"there_ms", millis(Step->There)}}});
}

void EntryReducer::send(PendingRequest &Pending, const std::string &To,
                        bool LastChoice, Instant Now, Effects &Out,
                        Duration MaxUsefulWait) {
  const TargetView *View = this->Directory.find(To);
  std::size_t BodyBytes = Pending.Request.Content->Body.size();
  bool Withheld = View && To != this->Options.Node &&
                  BodyBytes >= MinWithheldBytes &&
                  View->transferTime(BodyBytes) >= MinWithheldTransferTime;
  Pending.Current = {.Node = To,
                     .Id = this->NextForwardId++,
                     .ReceiverProcess = View ? View->Status.Process : 0,
                     .SentAt = Now,
                     .BodyWithheld = Withheld};
  Pending.TriedNodes.push_back(To);
  this->CallerByForward[Pending.Current.Id] = Pending.Request.Caller;
  this->Directory.noteSent(
      To, this->Sizes.meanOf(Pending.RequestClass, ExpectedAnswerBytes));
  Out.push_back(SendMessage{
      To, Forward{.Id = Pending.Current.Id,
                  .Process = this->Options.Process,
                  .Service = Pending.Service,
                  .AttemptId = Pending.Request.AttemptId,
                  .CallerService = Pending.Request.CallerService,
                  .TimeLeft = Pending.Deadline - Now,
                  .LatencyLeft = Pending.LatencyDeadline - Now,
                  .Key = Pending.Partitioned ? Pending.Request.Key : NoKey,
                  .KeyMapRevision = Pending.KeyMapRevision,
                  .Priority = static_cast<std::uint8_t>(
                      std::clamp(Pending.MatchedRoute->Priority, 0, 255)),
                  .Idempotent = Pending.MatchedRoute->Idempotent,
                  .LastChoice = LastChoice,
                  .MaxUsefulWait = MaxUsefulWait,
                  .RequestClass = Pending.RequestClass,
                  .WithheldBytes = Withheld ? BodyBytes : 0,
                  .RepeatPercent = Pending.TargetAttempts > 0
                                       ? SurelyRepeated
                                       : Pending.InheritedRepeatPercent,
                  .KeyDemand = Pending.Partitioned
                                   ? this->HotKeys.takeDemand(
                                         Pending.Service, Pending.Request.Key)
                                   : 1,
                  .Content = Withheld ? withoutBody(*Pending.Request.Content)
                                      : Pending.Request.Content}});
}

void EntryReducer::park(PendingRequest &Pending, Instant Now, Effects &Out) {
  if (!Pending.Unresolved.empty())
    return;
  Pending.NextOwnerLookup = Now + OwnerLookupInterval;
  if (Pending.ParkUntil == Instant()) {
    Pending.ParkUntil =
        Now + std::min(MaxParkTime, (Pending.Deadline - Now) / 2);
    Out.push_back(LogRecord{&events::RequestParked,
                            {{"request", Pending.Request.AttemptId},
                             {"key", std::to_string(Pending.Request.Key)},
                             {"for_ms", millis(Pending.ParkUntil - Now)}}});
  }
  if (Now >= Pending.ParkUntil)
    this->refuse(Pending, "the key changes hands", NoOwnerRetryAfter, Now, Out);
}

void EntryReducer::close(OpenForward &Sent) {
  if (!Sent.isOpen())
    return;
  this->Directory.noteEnded(Sent.Node);
  this->CallerByForward.erase(Sent.Id);
  Sent = {};
}

void EntryReducer::handleOwnersChanged(Instant Now, Effects &Out) {
  std::vector<std::uint64_t> Parked;
  for (const auto &[Caller, Pending] : this->PendingRequests)
    if (isParked(Pending))
      Parked.push_back(Caller);
  std::ranges::sort(Parked);
  for (std::uint64_t Caller : Parked)
    this->dispatch(this->PendingRequests.at(Caller), Now, Out);
}

void EntryReducer::tick(Instant Now, Effects &Out) {
  std::vector<std::uint64_t> Overdue;
  std::vector<std::uint64_t> Parked;
  for (auto &[Caller, Pending] : this->PendingRequests)
    if (Now >= Pending.Deadline)
      Overdue.push_back(Caller);
    else if (!isParked(Pending))
      this->askAgain(Pending, Now, Out);
    else if (Now >= Pending.NextOwnerLookup)
      Parked.push_back(Caller);
  std::ranges::sort(Overdue);
  std::ranges::sort(Parked);
  this->retryCancels(Now, Out);
  this->Budgets.logUse(Now, Out);
  for (std::uint64_t Caller : Overdue) {
    PendingRequest &Pending = this->PendingRequests.at(Caller);
    Pending.MayHaveRun |=
        Pending.Current.isOpen() && !Pending.Current.BodyWithheld;
    this->withdraw(Pending, Out);
    if (Pending.MayHaveRun)
      this->fail(Pending, 504, FailureCause::Deadline, "no answer in time", Now,
                 Out);
    else
      this->refuse(Pending, "no time is left", DefaultRetryAfter, Now, Out);
  }
  for (std::uint64_t Caller : Parked) {
    PendingRequest &Pending = this->PendingRequests.at(Caller);
    if (Now >= Pending.ParkUntil)
      this->refuse(Pending, "the key changes hands", NoOwnerRetryAfter, Now,
                   Out);
    else
      this->dispatch(Pending, Now, Out);
  }
}

void EntryReducer::handleCallerDisconnect(std::uint64_t Caller, Instant Now,
                                          Effects &Out) {
  auto Found = this->PendingRequests.find(Caller);
  if (Found == this->PendingRequests.end())
    return;
  PendingRequest &Pending = Found->second;
  Out.push_back(
      LogRecord{&events::CallerLeft,
                {{"request", Pending.Request.AttemptId},
                 {"at", Pending.Current.Node},
                 {"after_ms", millis(Now - Pending.Request.FirstByteAt)}}});
  this->withdraw(Pending, Out);
  this->PendingRequests.erase(Found);
}

void EntryReducer::finish(std::uint64_t Caller, HttpAnswer Answer,
                          Effects &Out) {
  if (auto Found = this->PendingRequests.find(Caller);
      Found != this->PendingRequests.end()) {
    this->withdraw(Found->second, Out);
    this->PendingRequests.erase(Found);
  }
  Out.push_back(ReplyToCaller{Caller, std::move(Answer)});
}

void EntryReducer::refuse(PendingRequest &Pending, std::string_view Reason,
                          Duration RetryAfter, Instant Now, Effects &Out) {
  // Status 503 would promise that no target has run the request.
  if (Pending.MayHaveRun) {
    this->fail(Pending, 502, FailureCause::NoRetry, Reason, Now, Out);
    return;
  }
  Out.push_back(
      LogRecord{&events::RequestRefused,
                {{"request", Pending.Request.AttemptId},
                 {"service", Pending.Service},
                 {"why", std::string(Reason)},
                 {"tried", std::to_string(Pending.TriedNodes.size())},
                 {"retry_after_ms", millis(RetryAfter)},
                 {"took_ms", millis(Now - Pending.Request.FirstByteAt)},
                 {"config", std::to_string(Pending.Table->Version)}}});
  this->finish(Pending.Request.Caller,
               makeErrorAnswer(503, "forward request", Reason, RetryAfter),
               Out);
}

void EntryReducer::fail(PendingRequest &Pending, int Status, FailureCause Cause,
                        std::string_view Reason, Instant Now, Effects &Out) {
  // A target may still be at work for an earlier try.
  if (!Pending.Unresolved.empty() && Now < Pending.Deadline) {
    this->close(Pending.Current);
    return;
  }
  bool IsStopping = this->LatestDeadline.has_value();
  ++this->Failures[static_cast<std::size_t>(Cause)];
  this->FailuresWhileStopping += IsStopping ? 1 : 0;
  Out.push_back(
      LogRecord{&events::RequestFailed,
                {{"request", Pending.Request.AttemptId},
                 {"service", Pending.Service},
                 {"status", std::to_string(Status)},
                 {"cause", std::string(failureCauseName(Cause))},
                 {"why", std::string(Reason)},
                 {"at", Pending.TriedNodes.empty() ? std::string()
                                                   : Pending.TriedNodes.back()},
                 {"stopping", IsStopping ? "yes" : "no"},
                 {"caller_service", Pending.Request.CallerService},
                 {"sends", std::to_string(Pending.TargetAttempts)},
                 {"took_ms", millis(Now - Pending.Request.FirstByteAt)}}});
  this->finish(Pending.Request.Caller,
               makeErrorAnswer(Status, "forward request", Reason), Out);
}

} // namespace orioledoor::routing
