// Decides when guardians that released a live member may be named again. Part
// of Coordinator.
#ifndef ORIOLEDOOR_OWNERSHIP_INTERNAL_GUARDIAN_RENEWAL_H
#define ORIOLEDOOR_OWNERSHIP_INTERNAL_GUARDIAN_RENEWAL_H

#include <map>
#include <set>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/assignment_planner.h"

namespace orioledoor::ownership::internal {

// A pair that is still cut off from each other would release again at once,
// so each pair is tried at growing intervals. Not thread-safe. Deterministic.
class GuardianRenewal {
public:
  // The pairs to try now. Linear in the known releases.
  std::set<ConsentNeeded> due(const Assignment &Current, const FactSet &Known,
                              const LoadModel &Loads, Instant Now);

  // The pairs were named again in a written version.
  void written(const std::set<ConsentNeeded> &Pairs, Instant Now);

  // The pairs of Wanted that are not in Given did not consent in time.
  void failed(const std::set<ConsentNeeded> &Wanted,
              const std::set<ConsentNeeded> &Given, Instant Now);

private:
  struct Pause {
    Instant Until;
    Duration Length{0};
  };
  void postpone(const ConsentNeeded &Pair, Instant Now);

  std::map<ConsentNeeded, Pause> Pauses;
};

} // namespace orioledoor::ownership::internal

#endif // ORIOLEDOOR_OWNERSHIP_INTERNAL_GUARDIAN_RENEWAL_H
