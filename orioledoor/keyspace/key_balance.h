// Chooses the keys to move between targets so that the load of each target
// matches its capacity, with as few moved keys as possible.
#ifndef ORIOLEDOOR_KEYSPACE_KEY_BALANCE_H
#define ORIOLEDOOR_KEYSPACE_KEY_BALANCE_H

#include <cstddef>
#include <span>
#include <vector>

#include "orioledoor/keyspace/key_map.h"

namespace orioledoor::keyspace {

// Demand for and capacity of one target, in requests per second.
struct TargetLoad {
  TargetRef Target;
  double Rate = 0;
  double Capacity = 0;
  // Keys that divide the demand into equal shares, in ascending order.
  std::vector<std::uint32_t> Quantiles;
};

// Rows up to which a target is given further ones one by one. The answer to a
// report, 4 KiB, can list about 70.
inline constexpr std::size_t MaxRowsPerTarget = 40;

// Returns the number of rows that Target owns.
std::size_t countRows(const KeyMap &Map, const TargetRef &Target);

struct KeyMove {
  KeyRange Keys;
  TargetRef From;
  TargetRef To;
};

// Limits the moves of one plan for a service with this many targets.
std::size_t maxMoves(std::size_t Targets);

// Returns the moves that reduce the utilization of overloaded targets towards
// the mean of all targets. Returns an empty list if no target is overloaded
// enough to justify a move. Busy targets count towards the mean, but take no
// part in a move: their demand is about to change. SettledKeys stay where they
// are, however many requests they get; the keys beside them move.
std::vector<KeyMove> planMoves(const KeyMap &Map,
                               std::span<const TargetLoad> Loads,
                               std::span<const TargetRef> Busy = {},
                               std::span<const std::uint32_t> SettledKeys = {});

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_KEY_BALANCE_H
