// Chooses the keys that change hands so that no target has more than its share
// of the load, in as few keys as possible.
#ifndef ORIOLEDOOR_KEYSPACE_KEY_BALANCE_H
#define ORIOLEDOOR_KEYSPACE_KEY_BALANCE_H

#include <span>
#include <vector>

#include "orioledoor/keyspace/key_map.h"

namespace orioledoor::keyspace {

// Demand and capacity of one target, in requests a second.
struct TargetLoad {
  TargetRef Target;
  double Rate = 0;
  double Capacity = 0;
  // Keys that part the demand into equal shares, ascending.
  std::vector<std::uint32_t> Quantiles;
};

struct KeyMove {
  KeyRange Keys;
  TargetRef From;
  TargetRef To;
};

// Moves that bring overloaded targets down towards the mean use of all. Empty
// if no target is used beyond what is worth a move.
std::vector<KeyMove> planMoves(const KeyMap &Map,
                               std::span<const TargetLoad> Loads);

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_KEY_BALANCE_H
