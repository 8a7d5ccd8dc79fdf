// Chooses which slices move where: one cost over imbalance, churn and
// unavailable time. See docs/design.md, section 9.
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
  // Whether the slice may move now: it rested since its last move and all
  // promises that the move needs can be had.
  std::function<bool(SliceRef)> MayMove;
  // Most moves to return for balance. Slices of leaving members come on top,
  // up to MaxLeavingMoves.
  std::size_t MaxMoves = 0;
  std::size_t MaxLeavingMoves = 0;
};

// Moves in the order of their gain. Deterministic.
// Cost: O(slices + moves * members) for the service.
std::vector<SliceMove> planMoves(const PlacementQuery &Query);

// The members that may own slices of Service: not leaving, not deposed.
std::vector<MemberId> eligibleOwners(const Assignment &Current,
                                     ServiceId Service);

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_PLACEMENT_H
