// What the target signals about itself in its answers.
#include <cstdio>
#include <string>

#include "orioledoor/routing/events.h"
#include "orioledoor/routing/internal/log_text.h"
#include "orioledoor/routing/target_gate.h"

namespace orioledoor::routing {
namespace {

using internal::field;

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
    this->startDraining("answer", Now, Out);
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

} // namespace orioledoor::routing
