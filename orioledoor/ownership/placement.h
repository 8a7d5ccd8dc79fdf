// Chooses which slices to move to which members, using one cost function of
// imbalance, churn and unavailable time. See docs/design.md, section 9.
//
//   std::vector<SliceMove> Moves = planMoves(Query);
#ifndef ORIOLEDOOR_OWNERSHIP_PLACEMENT_H
#define ORIOLEDOOR_OWNERSHIP_PLACEMENT_H

#include <functional>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/catalogue/catalogue.h"

namespace orioledoor::ownership {

struct Assignment;
class LoadModel;

struct SliceMove {
  SliceRef Slice;
  MemberId From;
  MemberId To;
};

struct PlacementQuery {
  const Assignment &Current;
  ServiceId Service;
  PlacementWeights Weights;
  const LoadModel &Loads;
  // Whether the slice may move now: enough time has passed since its last move,
  // and all promises that the move requires can be obtained.
  std::function<bool(SliceRef)> MayMove;
  // Maximum number of moves for load balance. Moves away from leaving members
  // are counted separately, up to MaxLeavingMoves.
  std::size_t MaxMoves = 0;
  std::size_t MaxLeavingMoves = 0;
};

// Returns moves away from leaving members, then moves for load balance in the
// order of their gain. Deterministic. Complexity: O(slices + moves * members)
// for the service.
std::vector<SliceMove> planMoves(const PlacementQuery &Query);

// Returns the members that may own slices of Service, that is, those that are
// neither leaving nor deposed.
std::vector<MemberId> eligibleOwners(const Assignment &Current,
                                     ServiceId Service);

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_PLACEMENT_H
