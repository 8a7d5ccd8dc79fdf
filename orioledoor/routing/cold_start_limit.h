// Says whether the target counts as cold and at which pace requests may be
// started there meanwhile.
//
//   ColdStartLimit Limit({.Overage = 1.5, .Slack = 8});
//   Limit.setPolicy(Table.service("plain"));
//   Limit.noteReport(Report.ColdRemaining, Now);
//   if (!Limit.isCold(Now) || Limit.mayStart(Now))
//     Limit.noteStart(Limit.isCold(Now), Now);
#ifndef ORIOLEDOOR_ROUTING_COLD_START_LIMIT_H
#define ORIOLEDOOR_ROUTING_COLD_START_LIMIT_H

#include <cstddef>
#include <deque>
#include <optional>

#include "orioledoor/base/instant.h"
#include "orioledoor/routing/start_pacer.h"

namespace orioledoor::routing {

struct ServicePolicy;

struct ColdStartLimitOptions {
  // In any second a cold target may get the rate that it tolerates times
  // Overage, plus Slack requests. An Overage of 0 means no limit.
  double Overage = 0;
  double Slack = 0;
  // A target that stated a cold time counts as cold for this long beyond it if
  // no later report says that it is warm; two report intervals.
  Duration ReportGap = std::chrono::milliseconds(1800);
};

// Limits starts to the tolerated rate times Overage with a burst of half of
// Slack. The other half covers calls that the network delays, and the burst of
// a new process of this node, which does not know the starts of the one before.
// Starts of the last second count from the
// moment at which the target becomes cold, whether it was warm then or not.
// Not thread-safe. All operations are constant, noteStart() amortized.
class ColdStartLimit {
public:
  explicit ColdStartLimit(ColdStartLimitOptions Options = {});

  // Null: the service has no limit. Until the first call, the tolerated rate is
  // not known and the lowest useful one is assumed.
  void setPolicy(const ServicePolicy *Policy);
  // The target was replaced; what was known about the earlier one is void, but
  // its last starts count, since they may have reached the new one.
  void noteNewIncarnation();
  // Returns false if Remaining exceeds what the policy says by far; it is then
  // taken for the longest possible time.
  bool noteReport(Duration Remaining, Instant Now);
  // A connection to the target was refused or broke. The target may have
  // restarted, so it counts as cold until the next report.
  void noteConnectionFailure() { this->Disconnected = true; }
  void noteStart(bool Cold, Instant Now);

  // Returns whether there is a limit for cold targets.
  bool isEnabled() const { return this->WindowLimit > 0; }
  // Returns whether the target counts as cold; false if there is no limit.
  bool isCold(Instant Now) const;
  bool isDisconnected() const { return this->Disconnected; }
  // The following hold for a cold target. Returns whether a request may start.
  bool mayStart(Instant Now) const;
  // Returns the time until a request may start that has Ahead others before it.
  // An estimate that is exact for Ahead == 0.
  Duration waitFor(std::size_t Ahead, Instant Now) const;
  Duration interval() const { return this->Pacer.interval(); }
  // Requests per second; 0 without a limit.
  double rate() const;

private:
  // Recomputes the pace from Options and the tolerated rate.
  void updatePace();
  // Time until the bound on the starts of one second admits another one.
  Duration waitForWindow(std::size_t Ahead, Instant Now) const;

  ColdStartLimitOptions Options;
  // Requests per second; empty if not known yet, 0 without a limit.
  std::optional<double> Tolerated;
  // Longest cold time that a report may state.
  Duration MaxRemaining;
  StartPacer Pacer;
  // Maximum number of starts in any second; 0 without a limit.
  std::size_t WindowLimit = 0;
  // End of the cold time that the reports of this incarnation stated; empty if
  // none stated any.
  std::optional<Instant> ColdUntil;
  // The last report stated that the target is warm.
  bool ReportedWarm = false;
  bool Disconnected = false;
  // Starts of the last second, in order, also those while the target was warm.
  std::deque<Instant> Starts;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_COLD_START_LIMIT_H
