// Cold phases by reports, the pace of starts and the bound for each second.
#include "orioledoor/routing/cold_start_limit.h"

#include <algorithm>
#include <cmath>

#include "orioledoor/routing/route_table.h"

namespace orioledoor::routing {
namespace {

// The time in which the platform counts the requests to a cold target.
constexpr Duration Window = std::chrono::seconds(1);
// Assumed until the policy is known: the lowest rate that still tries the
// target, since a higher one could exceed the unknown bound.
constexpr double UnknownToleratedRate = 1;
// Higher rates are no limit for a target on one VM. It keeps the conversion to
// integers defined.
constexpr double MaxRate = 1e6;
// Longest cold time that is believed if the policy states none. Cold starts of
// the known deployments last seconds.
constexpr Duration DefaultMaxRemaining = std::chrono::minutes(1);

} // namespace

ColdStartLimit::ColdStartLimit(ColdStartLimitOptions Options)
    : Options(Options), MaxRemaining(DefaultMaxRemaining) {
  this->updatePace();
}

void ColdStartLimit::setPolicy(const ServicePolicy *Policy) {
  this->Tolerated = Policy ? Policy->ColdRequestsPerSecond : 0;
  // A report may have been written up to a report interval ago, but never
  // states more than the whole cold time.
  this->MaxRemaining = Policy && Policy->ColdTime > Duration(0)
                           ? Policy->ColdTime
                           : DefaultMaxRemaining;
  this->updatePace();
}

void ColdStartLimit::updatePace() {
  double Rate = std::min(this->Tolerated.value_or(UnknownToleratedRate) *
                             this->Options.Overage,
                         MaxRate);
  if (!(Rate > 0)) {
    this->Pacer.setInterval(Duration(0));
    this->WindowLimit = 0;
    return;
  }
  double Slack = std::clamp(this->Options.Slack, 0.0, MaxRate);
  // A burst of one is the least with which requests can start at all.
  auto Burst = std::max<std::int64_t>(
      1, static_cast<std::int64_t>(std::floor(Slack / 2)));
  this->Pacer.setInterval(startInterval(Rate));
  this->Pacer.setBurstTime(this->Pacer.interval() * (Burst - 1));
  this->WindowLimit =
      std::min(static_cast<std::size_t>(Rate) + static_cast<std::size_t>(Burst),
               static_cast<std::size_t>(std::max(1.0, Rate + Slack)));
}

double ColdStartLimit::rate() const {
  return this->isEnabled()
             ? 1e6 / static_cast<double>(this->Pacer.interval().count())
             : 0;
}

void ColdStartLimit::noteNewIncarnation() {
  this->ColdUntil.reset();
  this->ReportedWarm = false;
  this->Disconnected = false;
}

bool ColdStartLimit::noteReport(Duration Remaining, Instant Now) {
  this->Disconnected = false;
  this->ReportedWarm = Remaining <= Duration(0);
  if (this->ReportedWarm)
    return true;
  // Reports that are sent late or out of step do not shorten a stated time.
  Instant Until = Now + std::min(Remaining, this->MaxRemaining);
  this->ColdUntil = std::max(this->ColdUntil.value_or(Until), Until);
  return Remaining <= this->MaxRemaining + this->Options.ReportGap;
}

bool ColdStartLimit::isCold(Instant Now) const {
  if (!this->isEnabled())
    return false;
  if (this->Disconnected)
    return true;
  if (!this->ColdUntil)
    return false;
  return Now < *this->ColdUntil ||
         (!this->ReportedWarm &&
          Now < *this->ColdUntil + this->Options.ReportGap);
}

void ColdStartLimit::noteStart(bool Cold, Instant Now) {
  while (!this->Starts.empty() && this->Starts.front() + Window <= Now)
    this->Starts.pop_front();
  // Recorded without a tolerated rate as well, since the next configuration may
  // state one.
  if (!(this->Options.Overage > 0))
    return;
  this->Starts.push_back(Now);
  if (Cold)
    this->Pacer.noteStart(Now);
}

bool ColdStartLimit::mayStart(Instant Now) const {
  return this->waitFor(0, Now) == Duration(0);
}

Duration ColdStartLimit::waitFor(std::size_t Ahead, Instant Now) const {
  return std::max(this->Pacer.waitFor(Ahead, Now),
                  this->waitForWindow(Ahead, Now));
}

Duration ColdStartLimit::waitForWindow(std::size_t Ahead, Instant Now) const {
  if (!this->isEnabled())
    return Duration(0);
  std::size_t Before = this->Starts.size() + Ahead;
  if (Before < this->WindowLimit)
    return Duration(0);
  // The start that must have left the window. If it has not happened yet, it
  // comes as soon as the pace allows, which Pacer accounts for.
  std::size_t Leaving = Before - this->WindowLimit;
  return Leaving < this->Starts.size()
             ? std::max(this->Starts[Leaving] + Window - Now, Duration(0))
             : Duration(0);
}

} // namespace orioledoor::routing
