// The recorded owners of the keys of one service: what the store keeps.
//
//   const KeyRow *Row = Map.find(4711);
//   if (Row && !Row->Next) ... // Row->Owner serves the key
#ifndef ORIOLEDOOR_KEYSPACE_KEY_MAP_H
#define ORIOLEDOOR_KEYSPACE_KEY_MAP_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "orioledoor/routing/target_ref.h"
#include "orioledoor/routing/target_report.h"

namespace orioledoor::keyspace {

using routing::KeyRange;
using routing::TargetRef;

inline constexpr std::uint32_t LastKey = 65535;

// Contiguous keys with one owner.
struct KeyRow {
  KeyRange Keys{};
  TargetRef Owner{};
  // Above every token that another owner had for one of the keys.
  std::int64_t Fence = 0;
  // From the previous owner, for a warm start; empty if there was none.
  std::string Handover{};
  // The owner gives the keys up to this target; empty: it keeps them.
  TargetRef Next{};

  friend bool operator==(const KeyRow &, const KeyRow &) = default;
};

// A target whose node's entry vanished. Its node renews no hold after reading
// this, and its rows get new owners once its last hold has certainly ended.
struct LostTarget {
  TargetRef Target{};
  // Unique among all marks of the service: a mark that was taken back and made
  // again starts a new wait.
  std::int64_t Mark = 0;

  friend bool operator==(const LostTarget &, const LostTarget &) = default;
};

struct KeyMap {
  std::string Service{};
  std::int64_t LastFence = 0;
  std::int64_t LastMark = 0;
  // Invariant: sorted, without overlap.
  std::vector<KeyRow> Rows{};
  std::vector<LostTarget> Lost{};

  // The row of Key; null if there is none. Logarithmic.
  const KeyRow *find(std::uint32_t Key) const;
  const LostTarget *findLost(const TargetRef &Target) const;
  // Splits rows so that Keys begins and ends with a row.
  void splitAt(const KeyRange &Keys);
  // Joins neighbours that differ in nothing but their keys.
  void mergeNeighbours();

  friend bool operator==(const KeyMap &, const KeyMap &) = default;
};

// JSON, readable for operators.
std::string encodeKeyMap(const KeyMap &Map);
// Errors: kInvalidArgument.
absl::StatusOr<KeyMap> decodeKeyMap(std::string_view Text);

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_KEY_MAP_H
