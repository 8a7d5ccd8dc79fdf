// Target choice by estimated service time, load, transfer and distance.
#include "orioledoor/routing/target_directory.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>
#include <ranges>
#include <tuple>

#include "orioledoor/routing/internal/drain_margin.h"
#include "orioledoor/routing/target_slowdown.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;

// Round-trip times by distance. The sites state one-way times of 1 to 1.4 ms
// between failure domains and 8 ms between regions.
constexpr Duration DomainRoundTrip = milliseconds(3);
constexpr Duration RegionRoundTrip = milliseconds(16);
// A failure domain with fewer targets of the service leaves no choice, so small
// requests are distributed over the region. This is the usual case of fleets of
// 18 VMs, where one busy target would otherwise hold the requests of its domain
// while the other target of the region is idle.
constexpr std::size_t MinDomainTargets = 2;
// A request is small if it and its answer together have at most this size: they
// take a link of 10 Mbit/s 6.6 ms, about as long as the round trips take.
constexpr std::uint64_t SmallTransferBytes = 8 << 10;
// Answers of this size leave one after another, with at most 80 ms of the link
// handed over at a time; smaller ones go between them.
constexpr std::uint64_t LargeAnswerBytes = 8 << 10;
constexpr Duration MaxSmallAnswerWait = milliseconds(80);
// Longest time for which a target that refused a request is skipped. Targets
// state a Retry-After of at least 1 s, which is meant for callers; slots become
// free within one service time.
constexpr Duration MaxBusyTime = milliseconds(250);
// A status older than this does not describe the current load.
constexpr Duration StatusLifetime = std::chrono::seconds(1);
// Measured service times older than this do not describe the target's current
// state: cold starts last 3 s, disruptions 5 to 10 s.
constexpr Duration TimesLifetime = std::chrono::seconds(4);
// Time over which the failure share of an unused target decays to 0, so that
// the target is tried again.
constexpr Duration FailureLifetime = std::chrono::seconds(8);
// Fraction by which a baseline approaches a slower target with each status. It
// adapts within about 500 answers, which is ten seconds at 50 requests/s.
constexpr double BaselineRiseRate = 0.002;
// Bounds the memory when routes are added and removed.
constexpr std::size_t MaxBaselines = 1024;
constexpr std::size_t MaxSpills = 1024;
constexpr std::size_t MaxBusyClasses = 16;
// Assumed service time without a measurement.
constexpr Duration DefaultServiceTime = milliseconds(100);
// Additional cost of a target that fails every request.
constexpr double FailureCostMs = 1000;
// Targets slow down before all slots are in use: at full utilization, this
// fraction of the service time is added. It scales with the square of the
// utilization.
constexpr double UtilizationPenalty = 0.5;
// Initial and maximum time for which an unreachable node is avoided.
constexpr Duration InitialAvoidTime = milliseconds(500);
constexpr Duration MaxAvoidTime = std::chrono::seconds(4);
// A target ends seconds after the drain time, in rare cases a minute.
constexpr Duration LeavingRetention = std::chrono::minutes(5);

Duration roundTripOf(Distance Ring) {
  switch (Ring) {
  case Distance::SameDomain:
    return Duration(0);
  case Distance::SameRegion:
    return DomainRoundTrip;
  case Distance::OtherRegion:
    break;
  }
  return RegionRoundTrip;
}

// Once the avoidance time of an unreachable node is over, a single request
// probes whether it is reachable again.
bool isAvoided(const TargetView &View, Instant Now) {
  return Now < View.AvoidUntil || (View.Failures > 0 && View.Outstanding > 0);
}

bool excluded(std::span<const std::string> Names, const std::string &Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

} // namespace

Duration TargetView::waitForStart(Duration StatusAge) const {
  Duration Wait = this->Status.StartWait +
                  this->Status.StartInterval *
                      static_cast<std::int64_t>(this->SentSinceStatus);
  return std::max(Wait - StatusAge, Duration(0));
}

bool TargetView::isBusy(RequestClassId RequestClass, Instant Now) const {
  auto Found =
      std::ranges::find(this->Busy, RequestClass, &BusyClass::RequestClass);
  return Found != this->Busy.end() && Now < Found->Until;
}

TargetDirectory::TargetDirectory(Location OwnLocation, std::string OwnNode,
                                 Duration DrainTime, std::uint64_t Seed)
    : OwnLocation(std::move(OwnLocation)), OwnNode(std::move(OwnNode)),
      DrainTime(DrainTime), Candidates(Seed) {}

void TargetDirectory::setNode(const std::string &Node, const Location &Place,
                              std::uint64_t LinkBytesPerSecond) {
  auto Found = this->Views.try_emplace(Node).first;
  Found->second.Place = Place;
  Found->second.LinkBytesPerSecond = LinkBytesPerSecond;
  if (Node == this->OwnNode)
    this->OwnLinkBytesPerSecond = LinkBytesPerSecond;
  this->reindex(*Found);
}

void TargetDirectory::removeNode(const std::string &Node) {
  auto Found = this->Views.find(Node);
  if (Found == this->Views.end())
    return;
  Found->second.Status.State = TargetState::Absent;
  this->reindex(*Found);
  this->Views.erase(Found);
}

void TargetDirectory::reindex(TargetEntry &Entry) {
  TargetView &View = Entry.second;
  const std::string &Service = View.Status.State == TargetState::Ready
                                   ? View.Status.Service
                                   : std::string();
  Distance Ring = this->distanceTo(View.Place);
  if (View.IndexedService == Service && View.IndexedRing == Ring)
    return;
  if (!View.IndexedService.empty())
    this->Candidates.remove(View.IndexedService, View.IndexedRing, &Entry);
  if (!Service.empty())
    this->Candidates.add(Service, Ring, &Entry);
  View.IndexedService = Service;
  View.IndexedRing = Ring;
}

bool TargetDirectory::update(const TargetStatus &Status, Instant Now) {
  auto Found = this->Views.find(Status.Target.Node);
  if (Found == this->Views.end())
    return false;
  TargetView &View = Found->second;
  if (Status.Process == View.Status.Process &&
      Status.Sequence < View.Status.Sequence)
    return false;
  if (Status.State == TargetState::Leaving)
    this->noteLeaving(Status.Target, Now);
  TargetState State = Status.State;
  // A restarted node does not know that its target is leaving.
  if ((State == TargetState::Ready || State == TargetState::Evacuated) &&
      this->LeavingSince.contains(Status.Target))
    State = TargetState::Leaving;
  bool Changed =
      State != View.Status.State || Status.Target != View.Status.Target;
  // A node updates its own status far more often than its measurements change.
  if (Status.Times != View.Status.Times)
    this->updateBaselines(Status);
  View.Status = Status;
  View.Status.State = State;
  View.StatusAt = Now;
  View.SentSinceStatus = 0;
  View.AnswerBytesSinceStatus = 0;
  this->reindex(*Found);
  return Changed;
}

void TargetDirectory::noteLeaving(const TargetRef &Target, Instant Now) {
  if (this->LeavingSince.contains(Target))
    return;
  std::erase_if(this->LeavingSince, [Now](const auto &Entry) {
    return Now - Entry.second > LeavingRetention;
  });
  this->LeavingSince.emplace(Target, Now);
}

std::optional<Duration> TargetDirectory::leavingFor(const TargetRef &Target,
                                                    Instant Now) const {
  auto Found = this->LeavingSince.find(Target);
  return Found == this->LeavingSince.end() ? std::nullopt
                                           : std::optional(Now - Found->second);
}

std::vector<TargetRef>
TargetDirectory::leavingBeside(std::string_view Node) const {
  std::vector<TargetRef> Leaving;
  std::ranges::copy_if(
      this->LeavingSince | std::views::keys, std::back_inserter(Leaving),
      [Node](const TargetRef &Target) { return Target.Node == Node; });
  return Leaving;
}

bool TargetDirectory::hasDrained(const TargetRef &Target, Instant Now) const {
  auto Found = this->LeavingSince.find(Target);
  return Found != this->LeavingSince.end() &&
         Now - Found->second >= this->DrainTime - internal::DrainMargin;
}

void TargetDirectory::noteSent(const std::string &Node,
                               std::uint64_t AnswerBytes) {
  auto Found = this->Views.find(Node);
  if (Found == this->Views.end())
    return;
  ++Found->second.Outstanding;
  ++Found->second.SentSinceStatus;
  Found->second.AnswerBytesSinceStatus += AnswerBytes;
}

void TargetDirectory::noteBusy(const std::string &Node,
                               RequestClassId RequestClass, Duration RetryAfter,
                               Instant Now) {
  auto Found = this->Views.find(Node);
  if (Found == this->Views.end())
    return;
  Instant Until =
      Now + (RetryAfter.count() > 0 ? std::min(RetryAfter, MaxBusyTime)
                                    : MaxBusyTime);
  auto &Busy = Found->second.Busy;
  std::erase_if(Busy, [&](const TargetView::BusyClass &Entry) {
    return Now >= Entry.Until || Entry.RequestClass == RequestClass;
  });
  if (Busy.size() < MaxBusyClasses)
    Busy.push_back({RequestClass, Until});
}

void TargetDirectory::noteEnded(const std::string &Node) {
  auto Found = this->Views.find(Node);
  if (Found != this->Views.end() && Found->second.Outstanding > 0)
    --Found->second.Outstanding;
}

void TargetDirectory::noteUnreachable(const std::string &Node, Instant Now) {
  auto Found = this->Views.find(Node);
  if (Found == this->Views.end())
    return;
  TargetView &View = Found->second;
  // Several requests that fail at the same time count as one failure.
  if (Now < View.AvoidUntil)
    return;
  Duration AvoidTime = std::min(
      MaxAvoidTime,
      InitialAvoidTime * (1 << std::min<std::uint32_t>(View.Failures, 3)));
  ++View.Failures;
  View.AvoidUntil = Now + AvoidTime;
}

void TargetDirectory::noteReached(const std::string &Node) {
  auto Found = this->Views.find(Node);
  if (Found == this->Views.end())
    return;
  Found->second.Failures = 0;
  Found->second.AvoidUntil = Instant();
}

void TargetDirectory::updateBaselines(const TargetStatus &Status) {
  for (const ClassServiceTime &ClassTime : Status.Times) {
    auto Mean = static_cast<double>(ClassTime.Mean.count());
    auto [Baseline, Inserted] =
        this->Baselines.try_emplace(ClassTime.RequestClass, Mean);
    if (Mean < Baseline->second)
      Baseline->second = Mean;
    else
      Baseline->second += (Mean - Baseline->second) * BaselineRiseRate;
  }
  if (this->Baselines.size() > MaxBaselines)
    this->Baselines.clear();
}

double TargetDirectory::baselineOf(RequestClassId RequestClass) const {
  auto Found = this->Baselines.find(RequestClass);
  return Found == this->Baselines.end() ? 0 : Found->second;
}

double TargetDirectory::presentSlowdown(const TargetView &View, Instant Now) {
  const TargetStatus &Status = View.Status;
  return Status.SlowdownPercent > 0 &&
                 Status.SlowdownAge + (Now - View.StatusAt) < SlowdownLifetime
             ? Status.SlowdownPercent / 100.0
             : 1.0;
}

TargetDirectory::ServiceTimeEstimate TargetDirectory::estimateServiceTime(
    const TargetView &View, RequestClassId RequestClass, Instant Now) const {
  double Baseline = this->baselineOf(RequestClass);
  if (Baseline == 0)
    return {static_cast<double>(DefaultServiceTime.count()), true};
  // A target without a recent measurement is assumed to be fast, so that it is
  // tried. This applies to new targets and to targets that were slow or cold
  // when they were last used.
  if (Now - View.StatusAt >= TimesLifetime)
    return {Baseline, false};
  const std::vector<ClassServiceTime> &Times = View.Status.Times;
  auto Found =
      std::ranges::find(Times, RequestClass, &ClassServiceTime::RequestClass);
  if (Found != Times.end())
    return {static_cast<double>(Found->Mean.count()) *
                presentSlowdown(View, Now),
            true};
  // Estimate the slowdown of this target from its other request classes.
  double Slowdown = 0;
  int Known = 0;
  for (const ClassServiceTime &ClassTime : Times)
    if (double OtherBaseline = this->baselineOf(ClassTime.RequestClass);
        OtherBaseline > 0) {
      Slowdown += static_cast<double>(ClassTime.Mean.count()) / OtherBaseline;
      ++Known;
    }
  return Known > 0 ? ServiceTimeEstimate{Baseline * Slowdown / Known *
                                             presentSlowdown(View, Now),
                                         true}
                   : ServiceTimeEstimate{Baseline, false};
}

TargetDirectory::CostEstimate
TargetDirectory::estimate(const std::string &Node, const TargetView &View,
                          const ChoiceInput &Request, Instant Now) const {
  const TargetStatus &Status = View.Status;
  double Slots = std::max<std::uint32_t>(Status.Slots, 1);
  ServiceTimeEstimate Expected =
      this->estimateServiceTime(View, Request.RequestClass, Now);
  // Mean time that the other requests hold their slots.
  double MeanHoldTime = Status.ServiceTime.count() > 0
                            ? static_cast<double>(Status.ServiceTime.count())
                            : Expected.Micros;
  Duration StatusAge = Now - View.StatusAt;
  double Age = static_cast<double>(StatusAge.count()) /
               static_cast<double>(StatusLifetime.count());
  double Failures =
      Status.FailureShare *
      std::max(0.0, 1.0 - static_cast<double>(StatusAge.count()) /
                              static_cast<double>(FailureLifetime.count()));
  double Reported = static_cast<double>(Status.Running + Status.Queued) *
                    std::max(0.0, 1.0 - Age);
  double Load =
      std::max<double>(View.Outstanding, Reported + View.SentSinceStatus);
  double WaitForSlot = std::max(0.0, Load + 1 - Slots) * MeanHoldTime / Slots;
  double Wait = std::max(
      WaitForSlot, static_cast<double>(View.waitForStart(StatusAge).count()));
  double Utilization = std::min(1.0, Load / Slots);
  // Limits an unmeasured target to one request at a time.
  double ProbeCost =
      Expected.Measured ? 0.0 : Expected.Micros * View.Outstanding;
  double Cost =
      Expected.Micros + Wait + ProbeCost +
      UtilizationPenalty * Utilization * Utilization * Expected.Micros +
      Failures * FailureCostMs * 1000;
  if (Node != this->OwnNode) {
    Cost += static_cast<double>(roundTripOf(View.IndexedRing).count());
    // Bodies queue at the target's link, and bodies in flight delay all other
    // messages.
    double Fresh = std::max(0.0, 1.0 - Age);
    double Bodies = Fresh * static_cast<double>(Status.LinkQueuedBytes);
    // Answers leave while the request waits and runs, so only what is left of
    // them by then delays its answer.
    double Answers = Fresh * static_cast<double>(Status.AnswerQueuedBytes);
    if (View.Outstanding > 0)
      Answers += static_cast<double>(View.AnswerBytesSinceStatus);
    Duration LinkWait = std::max(
        View.transferTime(static_cast<std::uint64_t>(Answers)) -
            Duration(static_cast<std::int64_t>(Expected.Micros + Wait)),
        Duration(0));
    if (Request.AnswerBytes < LargeAnswerBytes)
      LinkWait = std::min(LinkWait, MaxSmallAnswerWait);
    Cost += static_cast<double>(
        (View.transferTime(static_cast<std::uint64_t>(Bodies)) + LinkWait +
         this->transferTime(View, Request.Bytes + Request.AnswerBytes))
            .count());
  }
  return {Duration(static_cast<std::int64_t>(Cost)),
          Duration(static_cast<std::int64_t>(Wait))};
}

Duration TargetDirectory::transferTime(const TargetView &View,
                                       std::uint64_t Bytes) const {
  // A message passes both links at once, so the slower one determines the time.
  Duration Own = this->OwnLinkBytesPerSecond == 0
                     ? Duration(0)
                     : Duration(static_cast<std::int64_t>(
                           Bytes * 1'000'000 / this->OwnLinkBytesPerSecond));
  return std::max(View.transferTime(Bytes), Own);
}

bool TargetDirectory::isEligible(const TargetEntry &Candidate,
                                 const ChoiceInput &Request) const {
  const auto &[Node, View] = Candidate;
  return View.Status.State == TargetState::Ready &&
         View.Status.Service == Request.Service &&
         !excluded(Request.Excluded, Node) &&
         PlacementPolicy(Request.AllowedRegions, &this->Evacuations)
                 .check(View.Place) == PlacementVerdict::Allowed;
}

bool TargetDirectory::isPreferred(const TargetEntry &Candidate,
                                  const ChoiceInput &Request,
                                  Instant Now) const {
  return !isAvoided(Candidate.second, Now) &&
         !Candidate.second.isBusy(Request.RequestClass, Now);
}

void TargetDirectory::RingSample::take(const TargetEntry &Candidate,
                                       const CostEstimate &Cost) {
  // Candidates come in random order; the name breaks ties, so that the choice
  // does not depend on it where the sample is the whole ring.
  if (!this->Best || std::tie(Cost.Total, Candidate.first) <
                         std::tie(this->BestCost.Total, this->Best->first)) {
    if (this->Best)
      this->NextTotal = this->BestCost.Total;
    this->Best = &Candidate;
    this->BestCost = Cost;
  } else if (!this->NextTotal || Cost.Total < *this->NextTotal) {
    this->NextTotal = Cost.Total;
  }
  this->SeenAt = std::max(this->SeenAt, Candidate.second.StatusAt);
}

void TargetDirectory::RingSample::take(const RingSample &Other) {
  if (!Other.Best)
    return;
  this->take(*Other.Best, Other.BestCost);
  if (Other.NextTotal &&
      (!this->NextTotal || *Other.NextTotal < *this->NextTotal))
    this->NextTotal = Other.NextTotal;
  this->SeenAt = std::max(this->SeenAt, Other.SeenAt);
}

template <typename Predicate>
TargetDirectory::RingSample
TargetDirectory::sampleRing(Distance Ring, const ChoiceInput &Request,
                            Instant Now, Predicate IsEligible) {
  RingSample Result;
  this->Candidates.sample(
      Request.Service, Ring, TargetsPerRing, IsEligible,
      [&](const TargetEntry &Candidate) {
        Result.take(Candidate, this->estimate(Candidate.first, Candidate.second,
                                              Request, Now));
      });
  return Result;
}

TargetDirectory::RingSample
TargetDirectory::sampleAll(const ChoiceInput &Request, Instant Now,
                           bool IncludeUnreachable) {
  RingSample Result;
  for (Distance Ring :
       {Distance::SameDomain, Distance::SameRegion, Distance::OtherRegion})
    Result.take(
        this->sampleRing(Ring, Request, Now, [&](const TargetEntry &Candidate) {
          return this->isEligible(Candidate, Request) &&
                 (IncludeUnreachable || !isAvoided(Candidate.second, Now));
        }));
  return Result;
}

TargetDirectory::SpillEntry &
TargetDirectory::spillOf(const ChoiceInput &Request) {
  if (this->Spills.size() >= MaxSpills &&
      !this->Spills.contains(Request.RequestClass))
    this->Spills.clear();
  SpillEntry &Entry = this->Spills[Request.RequestClass];
  if (Entry.Service.empty())
    Entry.Service = Request.Service;
  return Entry;
}

bool TargetDirectory::mayLeave(SpillBoundary Boundary, const SpillTimes &Times,
                               const ChoiceInput &Request, SpillEntry &Spill,
                               Instant Now, TargetChoice &Choice) {
  // A failure domain without targets has nothing to leave. A retry says nothing
  // about the targets that it excludes, unless they refused it.
  bool Observed =
      (Boundary == SpillBoundary::Region ||
       this->Candidates.size(Request.Service, Distance::SameDomain) > 0) &&
      (Request.Excluded.empty() || Request.Refusals > 0);
  std::optional<SpillStep> Step;
  if (Observed)
    Step = Spill.State.observe(Boundary, Times, Now);
  if (Step) {
    Choice.Steps[static_cast<std::size_t>(Boundary)] = Step;
    Spill.HasLeft = true;
    ++this->Counters.Steps;
  }
  if (Times.TargetLatency.count() == 0 ||
      Request.Refusals > static_cast<int>(Boundary))
    return true;
  bool Small = Request.Bytes + Request.AnswerBytes <= SmallTransferBytes;
  if (Boundary == SpillBoundary::Domain &&
      this->Candidates.size(Request.Service, Distance::SameDomain) <
          MinDomainTargets &&
      (Small || (Times.Here && *Times.Here > stayLimit(Times.TargetLatency))))
    return true;
  return this->Candidates.below(SpillSteps) < Spill.State.share(Boundary);
}

PlacementVerdict TargetDirectory::checkPlacement(
    const std::string &Node,
    std::span<const std::string> AllowedRegions) const {
  const TargetView *View = this->find(Node);
  return PlacementPolicy(AllowedRegions, &this->Evacuations)
      .check(View ? View->Place : Location{});
}

PlacementVerdict
TargetDirectory::checkOwner(const std::string &Node,
                            std::span<const std::string> AllowedRegions,
                            Instant Now) const {
  PlacementVerdict Verdict = this->checkPlacement(Node, AllowedRegions);
  return Verdict == PlacementVerdict::Evacuated &&
                 this->Evacuations.servesKeys(
                     this->find(Node)->Place.FailureDomain, Now)
             ? PlacementVerdict::Allowed
             : Verdict;
}

TargetChoice TargetDirectory::choose(const ChoiceInput &Request, Instant Now) {
  TargetChoice Choice;
  RingSample Best;
  SpillEntry &Spill = this->spillOf(Request);
  // How far the request may wait at the targets in front of a boundary that it
  // does not cross.
  Duration StayLimit(0);
  for (Distance Ring :
       {Distance::SameDomain, Distance::SameRegion, Distance::OtherRegion}) {
    RingSample Sample =
        this->sampleRing(Ring, Request, Now, [&](const TargetEntry &Candidate) {
          return this->isEligible(Candidate, Request) &&
                 this->isPreferred(Candidate, Request, Now);
        });
    if (Ring == Distance::SameDomain) {
      Best = Sample;
      continue;
    }
    auto Boundary = Ring == Distance::SameRegion ? SpillBoundary::Domain
                                                 : SpillBoundary::Region;
    SpillTimes Times{.Here = Best.total(),
                     .There = Sample.total(),
                     .Transit = roundTripOf(Ring),
                     .TargetLatency = Request.TargetLatency,
                     .SeenAt = Best.SeenAt};
    bool MayLeave =
        this->mayLeave(Boundary, Times, Request, Spill, Now, Choice);
    if (!Times.Here || (MayLeave && gainsByLeaving(Times))) {
      Sample.take(Best);
      Best = Sample;
    } else if (MayLeave) {
      // The better side of the two; the transit counts against leaving.
      if (Sample.Best &&
          (!Best.NextTotal || *Times.There + Times.Transit < *Best.NextTotal))
        Best.NextTotal = *Times.There + Times.Transit;
    } else {
      StayLimit = stayLimit(Request.TargetLatency);
    }
  }
  // A request is not refused before a target has refused it.
  for (bool IncludeUnreachable : {false, true})
    if (!Best.Best)
      Best = this->sampleAll(Request, Now, IncludeUnreachable);
  if (!Best.Best)
    return Choice;
  Choice.Node = &Best.Best->first;
  Choice.Ring = Best.Best->second.IndexedRing;
  ++this->Counters.ChoicesByRing[static_cast<std::size_t>(Choice.Ring)];
  if (Duration Limit =
          std::max(Best.NextTotal.value_or(Duration(0)), StayLimit);
      Limit.count() > 0)
    Choice.CostGapToNext = std::max(
        Limit - (Best.BestCost.Total - Best.BestCost.Wait), Duration(0));
  return Choice;
}

std::size_t TargetDirectory::countReady(const ChoiceInput &Request,
                                        std::size_t Limit) {
  std::size_t Count = 0;
  for (Distance Ring :
       {Distance::SameDomain, Distance::SameRegion, Distance::OtherRegion})
    this->Candidates.sample(
        Request.Service, Ring, Limit - Count,
        [&](const TargetEntry &Candidate) {
          return this->isEligible(Candidate, Request);
        },
        [&Count](const TargetEntry &) { ++Count; });
  return Count;
}

Distance TargetDirectory::distanceTo(const Location &Place) const {
  if (Place == this->OwnLocation)
    return Distance::SameDomain;
  return Place.Region == this->OwnLocation.Region ? Distance::SameRegion
                                                  : Distance::OtherRegion;
}

const TargetView *TargetDirectory::find(const std::string &Node) const {
  auto Found = this->Views.find(Node);
  return Found == this->Views.end() ? nullptr : &Found->second;
}

} // namespace orioledoor::routing
