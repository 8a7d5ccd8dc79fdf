// The owners of the keys of one service, as recorded in the store.
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

// A contiguous range of keys with one owner.
struct KeyRow {
  KeyRange Keys{};
  TargetRef Owner{};
  // Fencing token; greater than the token of every earlier owner of any of the
  // keys.
  std::int64_t Fence = 0;
  // Handover token of the previous owner, which allows a warm start. Empty if
  // there was none.
  std::string Handover{};
  // The target to which the owner is to pass the keys. Empty if the owner keeps
  // them.
  TargetRef Next{};

  friend bool operator==(const KeyRow &, const KeyRow &) = default;
};

// A target whose node's entry vanished from the store. The node renews no hold
// after it has read this record, and the rows of the target get new owners once
// its last hold has ended.
struct LostTarget {
  TargetRef Target{};
  // Identifies this record; unique within the service. A mark that was removed
  // and set again gets a new number, which restarts the wait.
  std::int64_t Mark = 0;

  friend bool operator==(const LostTarget &, const LostTarget &) = default;
};

struct KeyMap {
  std::string Service{};
  std::int64_t LastFence = 0;
  std::int64_t LastMark = 0;
  // Era of the store in which the map was first planned or last repaired. A
  // lower one than the store's shows that the store came back from a copy. 0 if
  // the store stated none.
  std::int64_t Era = 0;
  // The last token when that era began: higher ones were given out in it.
  std::int64_t EraFence = 0;
  // Invariant: sorted by key, without overlaps.
  std::vector<KeyRow> Rows{};
  std::vector<LostTarget> Lost{};

  // Returns the row that contains Key, or null if there is none. Logarithmic in
  // the number of rows.
  const KeyRow *find(std::uint32_t Key) const;
  // Returns the mark of Target, or null if it is not marked as lost. Linear.
  const LostTarget *findLost(const TargetRef &Target) const;
  // Splits rows so that row boundaries lie at the first key of Keys and after
  // the last one. Linear.
  void splitRowsAt(const KeyRange &Keys);
  // Merges adjacent rows that differ only in their keys. Linear.
  void mergeAdjacentRows();

  friend bool operator==(const KeyMap &, const KeyMap &) = default;
};

// Encodes the map as JSON, which operators can read in the store.
std::string encodeKeyMap(const KeyMap &Map);
// Errors: kInvalidArgument if Text is not an encoded key map.
absl::StatusOr<KeyMap> decodeKeyMap(std::string_view Text);

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_KEY_MAP_H
