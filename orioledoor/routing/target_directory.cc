// Choice of a target by estimated time plus the price of distance.
#include "orioledoor/routing/target_directory.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;

// Round trips by distance; the sites state 1 to 1.4 ms between failure domains
// and 8 ms between regions one way.
constexpr Duration DomainRoundTrip = milliseconds(3);
constexpr Duration RegionRoundTrip = milliseconds(16);
// Price of a KiB that leaves the failure domain or the region, as time that a
// caller may wait longer instead. Both users pay for the volume between
// regions; a 60 KiB upload goes to another failure domain once its own target
// is 150 ms behind, and to another region once both are 600 ms behind.
constexpr double DomainMsPerKiB = 2.5;
constexpr double RegionMsPerKiB = 10;
// A status older than this says little of the load.
constexpr Duration StatusLifetime = std::chrono::seconds(1);
// Measured times older than this say little of the target as it is now: cold
// starts last 3 s, disruptions 5 to 10 s.
constexpr Duration TimesLifetime = std::chrono::seconds(4);
// Failures of a target that is not used any more count less and less, so that
// it is tried again.
constexpr Duration FailureLifetime = std::chrono::seconds(8);
// The share of the distance by which a baseline follows a slower target with
// each status: some 500 answers, ten seconds at 50 requests/s.
constexpr double BaselineRise = 0.002;
// Bounds the memory for routes that come and go.
constexpr std::size_t MaxBaselines = 1024;
// Without a measurement, what a request is taken to hold a slot for.
constexpr Duration DefaultServiceTime = milliseconds(100);
// What a target that fails every request is behind a healthy one.
constexpr double FailureCostMs = 1000;
// Targets slow down before they are full; this share of the service time is
// added at full use, with the square of the use.
constexpr double UsePenalty = 0.5;
// First and longest time for which an unreachable node is avoided.
constexpr Duration FirstSuspicion = milliseconds(500);
constexpr Duration LongestSuspicion = std::chrono::seconds(4);

bool excluded(std::span<const std::string> Names, const std::string &Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

} // namespace

TargetDirectory::TargetDirectory(Location Own, std::string OwnNode)
    : Own(std::move(Own)), OwnNode(std::move(OwnNode)) {}

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
  bool Changed =
      Status.State != View.Status.State || Status.Target != View.Status.Target;
  // Nodes state their own status far more often than they measure.
  if (Status.Times != View.Status.Times)
    this->noteTimes(Status);
  View.Status = Status;
  View.StatusAt = Now;
  View.SentSince = 0;
  return Changed;
}

void TargetDirectory::noteSent(const std::string &Node) {
  auto Found = this->Views.find(Node);
  if (Found == this->Views.end())
    return;
  ++Found->second.Outstanding;
  ++Found->second.SentSince;
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
  // Several requests that fail at once are one failure.
  if (Now < View.SuspectUntil)
    return;
  Duration Pause = std::min(
      LongestSuspicion,
      FirstSuspicion * (1 << std::min<std::uint32_t>(View.Failures, 3)));
  ++View.Failures;
  View.SuspectUntil = Now + Pause;
}

void TargetDirectory::noteReached(const std::string &Node) {
  auto Found = this->Views.find(Node);
  if (Found == this->Views.end())
    return;
  Found->second.Failures = 0;
  Found->second.SuspectUntil = Instant();
}

void TargetDirectory::noteTimes(const TargetStatus &Status) {
  for (const WorkTime &Each : Status.Times) {
    auto Mean = static_cast<double>(Each.Mean.count());
    auto [At, Added] = this->Baselines.try_emplace(Each.Work, Mean);
    if (Mean < At->second)
      At->second = Mean;
    else
      At->second += (Mean - At->second) * BaselineRise;
  }
  if (this->Baselines.size() > MaxBaselines)
    this->Baselines.clear();
}

double TargetDirectory::baselineOf(WorkId Work) const {
  auto Found = this->Baselines.find(Work);
  return Found == this->Baselines.end() ? 0 : Found->second;
}

TargetDirectory::Expectation TargetDirectory::expect(const TargetView &View,
                                                     WorkId Work,
                                                     Instant Now) const {
  double Baseline = this->baselineOf(Work);
  if (Baseline == 0)
    return {static_cast<double>(DefaultServiceTime.count()), true};
  // One that was not measured lately is taken for a good one, so that it is
  // tried: a new target, and one that was slow or cold when it was used last.
  if (Now - View.StatusAt >= TimesLifetime)
    return {Baseline, false};
  const std::vector<WorkTime> &Times = View.Status.Times;
  auto Found = std::ranges::find(Times, Work, &WorkTime::Work);
  if (Found != Times.end())
    return {static_cast<double>(Found->Mean.count()), true};
  // Other work shows how much slower than the best this target is.
  double Slowdown = 0;
  int Known = 0;
  for (const WorkTime &Each : Times)
    if (double Other = this->baselineOf(Each.Work); Other > 0) {
      Slowdown += static_cast<double>(Each.Mean.count()) / Other;
      ++Known;
    }
  return Known > 0 ? Expectation{Baseline * Slowdown / Known, true}
                   : Expectation{Baseline, false};
}

Duration TargetDirectory::costOf(const std::string &Node,
                                 const TargetView &View,
                                 const ChoiceInput &Request,
                                 Instant Now) const {
  const TargetStatus &Status = View.Status;
  double Slots = std::max<std::uint32_t>(Status.Slots, 1);
  Expectation Expected = this->expect(View, Request.Work, Now);
  // What others hold the slots for.
  double Held = Status.ServiceTime.count() > 0
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
  double Load = std::max<double>(View.Outstanding, Reported + View.SentSince);
  double Wait = std::max(0.0, Load + 1 - Slots) * Held / Slots;
  double Use = std::min(1.0, Load / Slots);
  // One request at a time finds out what a target is like.
  double Trial = Expected.Measured ? 0.0 : Expected.Micros * View.Outstanding;
  double Cost = Expected.Micros + Wait + Trial +
                UsePenalty * Use * Use * Expected.Micros +
                Failures * FailureCostMs * 1000;
  if (Node != this->OwnNode && View.Place != this->Own) {
    bool SameRegion = View.Place.Region == this->Own.Region;
    Cost += static_cast<double>(
        (SameRegion ? DomainRoundTrip : RegionRoundTrip).count());
    Cost += static_cast<double>(Request.Bytes) / 1024 * 1000 *
            (SameRegion ? DomainMsPerKiB : RegionMsPerKiB);
  }
  if (Node != this->OwnNode) {
    // Bodies wait for each other at the target's link; everything is slowed by
    // those that are on their way.
    double Queued =
        static_cast<double>(Status.LinkQueuedBytes) * std::max(0.0, 1.0 - Age);
    Cost += static_cast<double>(
        View.transferTime(Request.Bytes + static_cast<std::uint64_t>(Queued))
            .count());
  }
  return Duration(static_cast<std::int64_t>(Cost));
}

TargetChoice TargetDirectory::choose(const ChoiceInput &Request,
                                     Instant Now) const {
  TargetChoice Best;
  std::pair<bool, Duration> BestCost;
  std::optional<Duration> NextCost;
  for (const auto &[Node, View] : this->Views) {
    if (View.Status.State != TargetState::Ready ||
        View.Status.Service != Request.Service ||
        excluded(Request.Excluded, Node))
      continue;
    // An unreachable node is a last resort; after the pause one request shows
    // whether it is reachable again.
    bool Suspect =
        Now < View.SuspectUntil || (View.Failures > 0 && View.Outstanding > 0);
    std::pair<bool, Duration> Cost(Suspect,
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
    Best.NextCostsMore = std::max(*NextCost - BestCost.second, Duration(0));
  return Best;
}

std::size_t
TargetDirectory::countReady(std::string_view Service,
                            std::span<const std::string> Excluded) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Views, [&](const auto &Entry) {
        return Entry.second.Status.State == TargetState::Ready &&
               Entry.second.Status.Service == Service &&
               !excluded(Excluded, Entry.first);
      }));
}

const TargetView *TargetDirectory::find(const std::string &Node) const {
  auto Found = this->Views.find(Node);
  return Found == this->Views.end() ? nullptr : &Found->second;
}

} // namespace orioledoor::routing
