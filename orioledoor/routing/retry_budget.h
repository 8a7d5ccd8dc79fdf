// Limits the repeats of one service that one node causes, so that those of all
// nodes stay below a share of the fleet's requests plus a constant.
//
//   Budget.setFleetSize(295);
//   Budget.noteArrival(Now);
//   if (Budget.take(Now)) ... // retry the request
//   Budget.charge(0.2, Now);  // a call that may be a repeat
#ifndef ORIOLEDOOR_ROUTING_RETRY_BUDGET_H
#define ORIOLEDOOR_ROUTING_RETRY_BUDGET_H

#include <array>
#include <cstddef>
#include <cstdint>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

struct RetryBudgetOptions {
  // Repeats per request that reached a target.
  double Ratio = 0.1;
  // Repeats per window that all nodes together may cause independently of the
  // load. Each node may cause an equal part.
  double FleetExtra = 60;
  Duration Window = std::chrono::seconds(10);
};

// Counts over a sliding window: the repeats that a node takes in the window
// before any moment are at most Ratio times the requests in that window, plus
// its part of FleetExtra. Nothing is saved for later windows. The sum over all
// nodes has the same form, whatever the size of the fleet and wherever requests
// enter. Not thread-safe. All operations take constant time.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options) : Options(Options) {}

  // Number of nodes of the fleet, this one included; 0 while it is not known,
  // in which case the node has no part of FleetExtra.
  void setFleetSize(std::size_t Nodes) { this->FleetSize = Nodes; }
  // Records a request that has reached its first target.
  void noteArrival(Instant Now);
  // Consumes a retry from the budget and returns true, or returns false if
  // there is none.
  bool take(Instant Now);
  // Consumes what can't be refused any more; the budget may become negative.
  void charge(double Repeats, Instant Now);
  // Repeats that are left at the moment; negative if too many were charged.
  double available(Instant Now) const;

private:
  static constexpr std::int64_t SlicesPerWindow = 40;

  // Counts of one slice of time.
  struct Slice {
    std::int64_t Number = -1;
    double Arrivals = 0;
    double Repeats = 0;
  };

  std::int64_t sliceNumber(Instant At) const;
  Slice &sliceAt(Instant At);

  RetryBudgetOptions Options;
  std::size_t FleetSize = 0;
  // One more than a window has, since the window begins within a slice.
  std::array<Slice, SlicesPerWindow + 1> Slices{};
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_RETRY_BUDGET_H
