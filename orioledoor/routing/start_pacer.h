// Paces the requests that are started at a target which limits their rate, by
// the generic cell rate algorithm.
//
//   StartPacer Pacer;
//   Pacer.setInterval(startInterval(58.2));
//   if (Pacer.mayStart(Now))
//     Pacer.noteStart(Now);
//   Duration Wait = Pacer.waitFor(Waiting, Now);
#ifndef ORIOLEDOOR_ROUTING_START_PACER_H
#define ORIOLEDOOR_ROUTING_START_PACER_H

#include <cstddef>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// Returns the mean interval between starts that keeps to a limit in requests
// per second. Only an answer can lift a limit, so the interval is bounded and a
// target that accepts no requests is still tried from time to time.
Duration startInterval(double RequestsPerSecond);

// Starts come at least one interval apart in the mean. Unused intervals of the
// last burst time may be used at once. Not thread-safe. All operations are
// constant.
class StartPacer {
public:
  static constexpr Duration BurstTime = std::chrono::milliseconds(250);

  // An interval of 0 means that starts are not limited.
  void setInterval(Duration Mean) { this->Interval = Mean; }
  Duration interval() const { return this->Interval; }
  // A burst time of N intervals lets N + 1 requests start at once.
  void setBurstTime(Duration Time) { this->Burst = Time; }

  bool mayStart(Instant Now) const;
  void noteStart(Instant Now);
  // Returns the time until a request may start that has Ahead others before it;
  // 0 if it may start at once.
  Duration waitFor(std::size_t Ahead, Instant Now) const;

private:
  Duration Interval{0};
  Duration Burst = BurstTime;
  // Time at which the next start is due if none comes early. Starts that were
  // made without a limit are not counted.
  Instant NextDueAt;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_START_PACER_H
