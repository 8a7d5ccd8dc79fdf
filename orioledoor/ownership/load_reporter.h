// Reports this member's load to the coordinator: every 10 s, or every second
// while the member is leaving.
#ifndef ORIOLEDOOR_OWNERSHIP_LOAD_REPORTER_H
#define ORIOLEDOOR_OWNERSHIP_LOAD_REPORTER_H

#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/effect.h"
#include "orioledoor/ownership/event.h"

namespace orioledoor::ownership {

struct NodeState;

// Not thread-safe.
class LoadReporter {
public:
  explicit LoadReporter(NodeState &Node) : Node(Node) {}

  void handle(const LoadSampled &Sample);
  void tick(Instant Now, bool Leaving, Effects &Output);
  // Sends a report at the next tick.
  void reportAtNextTick() { this->NextReport = Instant(); }

private:
  NodeState &Node;
  // Rates of the last sample, busiest first.
  std::vector<ReportedLoad> Busiest;
  double TotalRate = 0;
  Instant NextReport;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_LOAD_REPORTER_H
