// Repairs the key map of a store that came back from an older copy, from the
// newer maps that nodes know.
//
//   MergedKeyMap Merged = mergeNewest(Known, Document, false);
//   KeyMap Repaired = repairedMap(Merged.Map, Era);
//
// For each key, the row with the highest fencing token is the newest one: each
// change of an owner takes a token above all earlier ones.
#ifndef ORIOLEDOOR_KEYSPACE_KEY_MAP_REPAIR_H
#define ORIOLEDOOR_KEYSPACE_KEY_MAP_REPAIR_H

#include <cstdint>
#include <string_view>

#include "orioledoor/keyspace/key_map.h"

namespace orioledoor::keyspace {

// A repair raises the last token and the last mark by this much, so that no
// number is given out twice even if no node knows the latest ones. The store
// executes at most 1,200 writes/s, each with one new number a row moved, so a
// minute of lost changes takes 72,000.
inline constexpr std::int64_t RepairStep = 100'000;

struct MergedKeyMap {
  // The era and the marks are those of the document.
  KeyMap Map{};
  // The rows that the document lacks: with a higher token than its own rows of
  // the same keys. Each lies within one row of the document or in a gap.
  KeyMap Newer{};
};

// Returns the newest rows of both maps. Of rows with the same token, which can
// differ in their planned move, it takes the document's if PreferDocument. The
// last token and mark are the higher ones. O(n log n) in the number of rows.
MergedKeyMap mergeNewest(const KeyMap &Known, const KeyMap &Document,
                         bool PreferDocument);

// Returns the map to write in Era. It has no lost marks: a mark that is written
// again without the condition that the entry of the target's node is absent
// proves nothing.
KeyMap repairedMap(KeyMap Newest, std::int64_t Era);

// Raises all tokens of a first map to those of Era, and above those of Before.
void startEra(KeyMap &Map, const KeyMap &Before, std::int64_t Era);

// Returns the rows of Newer that concern the target of Node, as owner in either
// map, in a map without an era.
KeyMap rowsConcerning(const KeyMap &Newer, const KeyMap &Document,
                      std::string_view Node);

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_KEY_MAP_REPAIR_H
