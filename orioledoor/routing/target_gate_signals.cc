// What the target signals about itself in its answers.
#include <cstdio>
#include <string>
#include <string_view>
#include <utility>

#include "orioledoor/routing/events.h"
#include "orioledoor/routing/internal/log_text.h"
#include "orioledoor/routing/route_table.h"
#include "orioledoor/routing/target_gate.h"

namespace orioledoor::routing {
namespace {

using internal::field;
using internal::millis;

std::string rateText(std::optional<double> Rate) {
  if (!Rate)
    return "none";
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.3f", *Rate);
  return Text;
}

} // namespace

void TargetGate::handleSignals(std::uint64_t CallId,
                               const TargetSignals &Signals, Instant Now,
                               Effects &Out) {
  auto Found = this->Calls.find(CallId);
  if (Found == this->Calls.end() ||
      Found->second.Incarnation != this->Incarnation)
    return;
  this->SignalsKnown = true;
  if (Signals.Leaving)
    this->startDraining("answer", Now, Now, Out);
  if (Signals.LoadUnreadable)
    Out.push_back(LogRecord{&events::TargetLoadUnreadable,
                            {field("request", Found->second.Request.AttemptId),
                             field("instance", this->Target.Instance)}});
  else if (Signals.Load && Signals.Load->SlowdownPercent > 0)
    this->Slowdown.note(Signals.Load->SlowdownPercent, Now);
  if (Signals.RateLimitUnreadable) {
    Out.push_back(LogRecord{&events::TargetLimitUnreadable,
                            {field("request", Found->second.Request.AttemptId),
                             field("instance", this->Target.Instance)}});
    return;
  }
  if (Signals.RateLimit)
    this->LimitStatedAt = Now;
  else if (Found->second.StartedAt <= this->LimitStatedAt)
    // The answer may be older than the one that stated the limit.
    return;
  this->setRateLimit(Signals.RateLimit, Out);
}

void TargetGate::setRateLimit(std::optional<double> RequestsPerSecond,
                              Effects &Out) {
  if (RequestsPerSecond == this->RateLimit)
    return;
  Out.push_back(
      LogRecord{&events::TargetLimitChanged,
                {field("instance", this->Target.Instance),
                 field("limit_per_s", rateText(RequestsPerSecond)),
                 field("previous_per_s", rateText(this->RateLimit)),
                 field("waiting", std::to_string(this->Queue.waiting())),
                 field("running", std::to_string(this->Queue.running()))}});
  this->RateLimit = RequestsPerSecond;
  this->Pacer.setInterval(RequestsPerSecond ? startInterval(*RequestsPerSecond)
                                            : Duration(0));
}

void TargetGate::setTable(std::shared_ptr<const RouteTable> Table) {
  this->Table = std::move(Table);
  this->updateColdPolicy();
}

void TargetGate::updateColdPolicy() {
  if (this->Table && this->Target)
    this->ColdStarts.setPolicy(this->Table->service(this->Report.Service));
}

bool TargetGate::countsAsCold(Instant Now) const {
  return this->ColdStarts.isCold(Now) ||
         (this->ColdStarts.isEnabled() && this->isSuspectedCold());
}

void TargetGate::noteColdTime(Instant Now, Effects &Out) {
  if (!this->ColdStarts.noteReport(this->Report.ColdRemaining, Now) &&
      this->ColdStarts.isEnabled())
    Out.push_back(
        LogRecord{&events::ColdTimeExcessive,
                  {field("instance", this->Target.Instance),
                   field("stated_ms", millis(this->Report.ColdRemaining)),
                   field("service", this->Report.Service)}});
  this->updateCold(Now, Out);
}

void TargetGate::updateCold(Instant Now, Effects &Out) {
  bool Cold = this->countsAsCold(Now);
  if (Cold == this->Cold)
    return;
  this->Cold = Cold;
  if (!Cold) {
    Out.push_back(LogRecord{&events::TargetWarm,
                            {field("instance", this->Target.Instance)}});
    return;
  }
  std::string_view Why = this->ColdStarts.isDisconnected() ? "connection"
                         : this->ColdStarts.isCold(Now)    ? "report"
                                                           : "suspicion";
  Out.push_back(LogRecord{
      &events::TargetCold,
      {field("instance", this->Target.Instance), field("why", std::string(Why)),
       field("remaining_ms", millis(this->Report.ColdRemaining)),
       field("pace_per_s", rateText(this->ColdStarts.rate()))}});
}

} // namespace orioledoor::routing
