// Target choice by estimated service time, load and distance.
#include "orioledoor/routing/target_directory.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "orioledoor/routing/internal/drain_margin.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;

// Round-trip times by distance. The sites state one-way times of 1 to 1.4 ms
// between failure domains and 8 ms between regions.
constexpr Duration DomainRoundTrip = milliseconds(3);
constexpr Duration RegionRoundTrip = milliseconds(16);
// Cost of a KiB that leaves the failure domain or the region, as the additional
// time that a caller may wait instead. Both users pay for the traffic between
// regions. With these values, a 60 KiB upload goes to another failure domain
// once its own target is 150 ms slower, and to another region once both are 600
// ms slower.
constexpr double DomainMsPerKiB = 2.5;
constexpr double RegionMsPerKiB = 10;
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

TargetDirectory::TargetDirectory(Location OwnLocation, std::string OwnNode,
                                 Duration DrainTime)
    : OwnLocation(std::move(OwnLocation)), OwnNode(std::move(OwnNode)),
      DrainTime(DrainTime) {}

void TargetDirectory::setNode(const std::string &Node, const Location &Place,
                              std::uint64_t LinkBytesPerSecond) {
  TargetView &View = this->Views[Node];
  View.Place = Place;
  View.LinkBytesPerSecond = LinkBytesPerSecond;
}

void TargetDirectory::removeNode(const std::string &Node) {
  this->Views.erase(Node);
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

bool TargetDirectory::hasDrained(const TargetRef &Target, Instant Now) const {
  auto Found = this->LeavingSince.find(Target);
  return Found != this->LeavingSince.end() &&
         Now - Found->second >= this->DrainTime - internal::DrainMargin;
}

void TargetDirectory::noteSent(const std::string &Node) {
  auto Found = this->Views.find(Node);
  if (Found == this->Views.end())
    return;
  ++Found->second.Outstanding;
  ++Found->second.SentSinceStatus;
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
    return {static_cast<double>(Found->Mean.count()), true};
  // Estimate the slowdown of this target from its other request classes.
  double Slowdown = 0;
  int Known = 0;
  for (const ClassServiceTime &ClassTime : Times)
    if (double OtherBaseline = this->baselineOf(ClassTime.RequestClass);
        OtherBaseline > 0) {
      Slowdown += static_cast<double>(ClassTime.Mean.count()) / OtherBaseline;
      ++Known;
    }
  return Known > 0 ? ServiceTimeEstimate{Baseline * Slowdown / Known, true}
                   : ServiceTimeEstimate{Baseline, false};
}

Duration TargetDirectory::costOf(const std::string &Node,
                                 const TargetView &View,
                                 const ChoiceInput &Request,
                                 Instant Now) const {
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
  Distance Apart = this->distanceTo(View.Place);
  if (Node != this->OwnNode && Apart != Distance::SameDomain) {
    bool SameRegion = Apart == Distance::SameRegion;
    Cost += static_cast<double>(
        (SameRegion ? DomainRoundTrip : RegionRoundTrip).count());
    Cost += static_cast<double>(Request.Bytes) / 1024 * 1000 *
            (SameRegion ? DomainMsPerKiB : RegionMsPerKiB);
  }
  if (Node != this->OwnNode) {
    // Bodies queue at the target's link, and bodies in flight delay all other
    // messages.
    double Queued =
        static_cast<double>(Status.LinkQueuedBytes) * std::max(0.0, 1.0 - Age);
    Cost += static_cast<double>(
        View.transferTime(Request.Bytes + static_cast<std::uint64_t>(Queued))
            .count());
  }
  return Duration(static_cast<std::int64_t>(Cost));
}

bool TargetDirectory::isCandidate(const std::string &Node,
                                  const TargetView &View,
                                  const ChoiceInput &Request) const {
  PlacementPolicy Policy(Request.AllowedRegions, &this->Evacuations);
  return View.Status.State == TargetState::Ready &&
         View.Status.Service == Request.Service &&
         !excluded(Request.Excluded, Node) &&
         Policy.check(View.Place) == PlacementVerdict::Allowed;
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

TargetChoice TargetDirectory::choose(const ChoiceInput &Request,
                                     Instant Now) const {
  TargetChoice Best;
  std::pair<bool, Duration> BestCost;
  std::optional<Duration> NextCost;
  for (const auto &[Node, View] : this->Views) {
    if (!this->isCandidate(Node, View, Request))
      continue;
    // An unreachable node is only chosen if there is no other. Once the
    // avoidance time is over, a single request probes whether it is reachable
    // again.
    bool Avoided =
        Now < View.AvoidUntil || (View.Failures > 0 && View.Outstanding > 0);
    std::pair<bool, Duration> Cost(Avoided,
                                   this->costOf(Node, View, Request, Now));
    if (!Best.Node || Cost < BestCost) {
      if (Best.Node)
        NextCost = BestCost.second;
      Best.Node = &Node;
      BestCost = Cost;
    } else if (!NextCost || Cost.second < *NextCost) {
      NextCost = Cost.second;
    }
  }
  if (NextCost)
    Best.CostGapToNext = std::max(*NextCost - BestCost.second, Duration(0));
  return Best;
}

std::size_t
TargetDirectory::countReady(std::string_view Service,
                            std::span<const std::string> Excluded,
                            std::span<const std::string> AllowedRegions) const {
  ChoiceInput Request{.Service = Service,
                      .Excluded = Excluded,
                      .AllowedRegions = AllowedRegions};
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Views, [&](const auto &Entry) {
        return this->isCandidate(Entry.first, Entry.second, Request);
      }));
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
