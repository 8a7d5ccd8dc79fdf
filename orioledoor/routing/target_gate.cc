// State of the target: reports, draining, silence detection and status.
#include <algorithm>
#include <utility>

#include "orioledoor/routing/events.h"
#include "orioledoor/routing/internal/drain_margin.h"
#include "orioledoor/routing/internal/log_text.h"
#include "orioledoor/routing/target_gate.h"

namespace orioledoor::routing {
namespace {

using internal::DrainMargin;
using internal::field;
using internal::millis;
using std::chrono::milliseconds;

// A request that was reported to its sender as never received, or cancelled by
// it, must not run if it arrives later. This exceeds the longest timeout of any
// caller.
constexpr Duration DroppedRetention = std::chrono::seconds(60);
// Used for the capacity of a target until the first request has completed.
constexpr Duration AssumedServiceTime = milliseconds(150);
// Capacity of a target that accepts no requests. It is not 0, so that load and
// capacity have a ratio.
constexpr double MinCapacity = 0.1;

} // namespace

TargetGate::TargetGate(TargetGateOptions Options)
    : Options(std::move(Options)),
      Evacuation(this->Options.EvacuationTime > Duration(0)),
      ColdStarts({.Overage = this->Options.ColdOverage,
                  .Slack = this->Options.ColdSlack,
                  .ReportGap = this->Options.SilenceTime}),
      BodyFetches(this->Options.LinkBytesPerSecond),
      Link(this->Options.LinkBytesPerSecond),
      Results(this->Options.AnswerMemoryBytes) {}

ReportVerdict TargetGate::handleReport(const TargetReport &Report, Instant Now,
                                       Effects &Out) {
  TargetRef Reported{Report.Instance, Report.StartTimeMs, this->Options.Node};
  bool SameIncarnation = Reported == this->Target;
  if ((SameIncarnation && Report.Sequence <= this->Report.Sequence) ||
      (!SameIncarnation && this->Target &&
       Report.StartTimeMs < this->Target.StartTimeMs)) {
    Out.push_back(LogRecord{&events::ReportIgnored,
                            {field("instance", Report.Instance),
                             field("born", std::to_string(Report.StartTimeMs)),
                             field("sequence", std::to_string(Report.Sequence)),
                             field("current", this->Target.Instance)}});
    return ReportVerdict::Stale;
  }
  this->LastReportAt = Now;
  this->ConnectionRefused = false;
  this->Evacuation.noteReport();
  if (SameIncarnation) {
    // Measurements from the cold start phase are no longer valid.
    if (this->Report.ColdRemaining.count() > 0 &&
        Report.ColdRemaining.count() == 0)
      this->ServiceTimes.clear();
    this->Report = Report;
    this->noteColdTime(Now, Out);
    this->Queue.setSlots(Report.Slots);
    if (this->State == TargetState::Absent && !this->Drained)
      this->State = TargetState::Ready;
    if (Report.Draining)
      this->startDraining("report", Now, Now, Out);
    this->startQueuedCalls(Now, Out);
    return ReportVerdict::Current;
  }
  if (this->Target)
    for (const CrashNotice &Notice : this->Crashes.noteTargetEnded(Now)) {
      Out.push_back(
          LogRecord{&events::RequestQuarantined,
                    {field("digest", std::to_string(Notice.Digest)),
                     field("crashes", std::to_string(Notice.Crashes))}});
      Out.push_back(SendMessage{"", Notice});
    }
  this->Target = Reported;
  this->Report = Report;
  ++this->Incarnation;
  this->setRateLimit(std::nullopt, Out);
  this->LimitStatedAt = Instant();
  this->SignalsKnown = false;
  this->ProbingSince.reset();
  this->State = TargetState::Ready;
  this->Drained = false;
  this->FailureShare = 0;
  this->HotKeys.clear();
  this->Slowdown.clear();
  this->ServiceTimes.clear();
  this->ColdStarts.noteNewIncarnation();
  this->updateColdPolicy();
  this->noteColdTime(Now, Out);
  // Calls to the previous incarnation end when their connections break.
  this->Queue.setSlots(Report.Slots);
  Out.push_back(
      LogRecord{&events::TargetReady,
                {field("instance", Report.Instance),
                 field("born", std::to_string(Report.StartTimeMs)),
                 field("service", Report.Service),
                 field("slots", std::to_string(Report.Slots)),
                 field("sequence", std::to_string(Report.Sequence)),
                 field("held_ranges", std::to_string(Report.Holds.size()))}});
  if (Report.Draining)
    this->startDraining("report", Now, Now, Out);
  if (auto Since = this->Departures.leavingSince(this->Target))
    this->startDraining("earlier notice", *Since, Now, Out);
  this->startQueuedCalls(Now, Out);
  return ReportVerdict::NewIncarnation;
}

void TargetGate::handleShutdown(std::string_view Instance,
                                std::int64_t WallTimeMs, Instant Now,
                                Effects &Out) {
  bool IsKnown = this->Target && this->Target.Instance == Instance;
  Out.push_back(LogRecord{&events::TargetDeregistered,
                          {field("instance", std::string(Instance)),
                           field("has_reported", IsKnown ? "yes" : "no")}});
  // The known incarnation may be an earlier one with the same id.
  this->Departures.note(Instance, WallTimeMs, Now);
  // The status of a target that was known to leave has told the other nodes.
  // They have to remember this one for the next process of this node.
  bool WasLeaving =
      IsKnown && (this->State == TargetState::Leaving || this->Drained);
  if (!WasLeaving)
    Out.push_back(
        SendMessage{"", TargetLeavingNotice{{std::string(Instance), WallTimeMs,
                                             this->Options.Node}}});
  if (IsKnown)
    this->startDraining("deregistration", Now, Now, Out);
}

void TargetGate::startDraining(std::string_view AnnouncedBy, Instant Since,
                               Instant Now, Effects &Out) {
  if (this->Drained)
    return;
  Instant Deadline = Since + this->Options.DrainTime - DrainMargin;
  if (this->State == TargetState::Leaving) {
    this->DrainDeadline = std::min(this->DrainDeadline, Deadline);
  } else {
    this->State = TargetState::Leaving;
    this->DrainDeadline = Deadline;
    Out.push_back(
        LogRecord{&events::TargetLeaving,
                  {field("instance", this->Target.Instance),
                   field("announced_by", std::string(AnnouncedBy)),
                   field("waiting", std::to_string(this->Queue.waiting())),
                   field("running", std::to_string(this->Queue.running()))}});
  }
  this->endDrainTime(Now, Out);
}

void TargetGate::endDrainTime(Instant Now, Effects &Out) {
  if (this->State != TargetState::Leaving || Now < this->DrainDeadline)
    return;
  this->State = TargetState::Absent;
  this->Drained = true;
  Out.push_back(
      LogRecord{&events::TargetDrained,
                {field("instance", this->Target.Instance),
                 field("running", std::to_string(this->Queue.running()))}});
  this->refuseUnstartedCalls(Now, Out);
}

void TargetGate::handleLeavingNotice(const TargetLeavingNotice &Notice,
                                     Instant Now, Effects &Out) {
  if (Notice.Target.Node != this->Options.Node)
    return;
  Instant Since = Now - Notice.KnownFor;
  this->Departures.note(Notice.Target.Instance, Notice.Target.StartTimeMs,
                        Since);
  if (this->Target && Notice.Target == this->Target)
    this->startDraining("another node", Since, Now, Out);
}

void TargetGate::refuseUnstartedCalls(Instant Now, Effects &Out) {
  std::vector<std::uint64_t> Pending;
  for (const auto &[Id, Call] : this->Calls)
    if (Call.Fetching || this->Confirmations.contains(Id))
      Pending.push_back(Id);
  for (std::uint64_t Id : Pending)
    this->finishCall(Id, {.Code = Outcome::NoTarget}, Now, Out);
  for (const WaitingRequest &Waiting : this->Queue.takeAll())
    this->finishCall(Waiting.Id, {.Code = Outcome::NoTarget}, Now, Out);
}

void TargetGate::handleCrashNotice(const std::string &From,
                                   const CrashNotice &Notice, Instant Now,
                                   Effects &Out) {
  if (this->Crashes.wasAnsweredRecently(Notice.Digest))
    Out.push_back(SendMessage{From, CrashCleared{Notice.Digest}});
  else
    this->Crashes.merge(Notice, Now);
}

void TargetGate::handleCrashCleared(const CrashCleared &Cleared, Effects &Out) {
  // Only the nodes that reported a crash tell the others, so that an answer
  // costs each of them one message and not the square of their number.
  if (!this->Crashes.clear(Cleared.Digest))
    return;
  Out.push_back(LogRecord{&events::SuspicionCleared,
                          {field("digest", std::to_string(Cleared.Digest))}});
  Out.push_back(SendMessage{"", Cleared});
}

void TargetGate::close(Instant Now, Effects &Out) {
  this->Closed = true;
  // No new requests need the rest of the link.
  this->Link.setPacing(AnswerPacing::WholeLink, Now);
  this->refuseUnstartedCalls(Now, Out);
  this->sendAnswers(Now, Out);
}

void TargetGate::tick(Instant Now, Effects &Out) {
  this->Crashes.tick(Now);
  this->Results.tick(Now);
  std::erase_if(this->DroppedOnArrival, [Now](const auto &Entry) {
    return Now - Entry.second > DroppedRetention;
  });
  this->endDrainTime(Now, Out);
  // Reports may be lost while requests still reach the target, so silence alone
  // is not enough.
  if (this->State == TargetState::Ready && this->ConnectionRefused &&
      Now - this->LastReportAt > this->Options.SilenceTime) {
    this->State = TargetState::Absent;
    Out.push_back(
        LogRecord{&events::TargetSilent,
                  {field("instance", this->Target.Instance),
                   field("silent_ms", millis(Now - this->LastReportAt))}});
    this->refuseUnstartedCalls(Now, Out);
  }
  this->endEvacuationGrace(Now, Out);
  this->updateCold(Now, Out);
  this->endConfirmations(Now, Out);
  this->startQueuedCalls(Now, Out);
  this->refuseOverdueCalls(Now, Out);
  this->dropLateAnswers(Now, Out);
  this->sendAnswers(Now, Out);
  this->CommittedBytes = this->Link.committedBytes(Now);
}

double TargetGate::capacity() const {
  Duration ServiceTime = this->Queue.serviceTime().count() > 0
                             ? this->Queue.serviceTime()
                             : AssumedServiceTime;
  double OfSlots =
      this->Queue.slots() * 1e6 / static_cast<double>(ServiceTime.count());
  if (this->Cold)
    OfSlots = std::min(OfSlots, std::max(this->coldPace(), MinCapacity));
  return this->RateLimit
             ? std::min(OfSlots, std::max(*this->RateLimit, MinCapacity))
             : OfSlots;
}

std::vector<ClassServiceTime> TargetGate::statedTimes(Instant Now) const {
  std::vector<ClassServiceTime> Times = this->ServiceTimes.recent(Now);
  for (ClassServiceTime &ClassTime : Times)
    ClassTime.Mean = this->Slowdown.atMean(ClassTime.Mean);
  return Times;
}

TargetStatus TargetGate::status(Instant Now) const {
  return {.Process = this->Options.Process,
          .Sequence = this->NextSequence++,
          .Target = {this->Target.Instance, this->Target.StartTimeMs,
                     this->Options.Node},
          .Service = this->Report.Service,
          .State = this->Closed ? TargetState::Absent : this->state(),
          .Slots = this->Queue.slots(),
          .Running = this->Queue.running(),
          .Queued = static_cast<std::uint32_t>(this->Queue.waiting()),
          .ServiceTime = this->Queue.serviceTime(),
          .Times = this->statedTimes(Now),
          .FailureShare = this->FailureShare,
          .LinkQueuedBytes = this->BodyFetches.queuedBytes(),
          .StartInterval =
              std::max(this->Pacer.interval(), this->countsAsCold(Now)
                                                   ? this->ColdStarts.interval()
                                                   : Duration(0)),
          .StartWait = this->waitForPace(this->Queue.waiting(), Now),
          .SlowdownPercent = this->Slowdown.percentOfMean(),
          .SlowdownAge = this->Slowdown.age(Now),
          .AnswerQueuedBytes = this->Link.committedBytes(Now)};
}

} // namespace orioledoor::routing
