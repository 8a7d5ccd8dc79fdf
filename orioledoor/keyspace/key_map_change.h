// The difference between two key maps, which nodes send each other in place of
// whole maps: a map grows with the number of targets, a change does not.
//
//   KeyMap Change = changeBetween(Before, After);
//   std::optional<KeyMap> Result = applyChange(Before, Change,
//   checksum(After));
#ifndef ORIOLEDOOR_KEYSPACE_KEY_MAP_CHANGE_H
#define ORIOLEDOOR_KEYSPACE_KEY_MAP_CHANGE_H

#include <cstdint>
#include <optional>

#include "orioledoor/keyspace/key_map.h"

namespace orioledoor::keyspace {

// Returns a map with the rows of After that Before does not have, and with all
// other fields of After. Every key must have a row in After.
KeyMap changeBetween(const KeyMap &Before, const KeyMap &After);

// Returns the map that results from applying Change to Before. Returns nullopt
// if its checksum differs, which means that the change belongs to another map.
// Linear in the number of rows.
std::optional<KeyMap> applyChange(const KeyMap &Before, const KeyMap &Change,
                                  std::uint64_t Checksum);

// Equal maps have equal checksums in all processes.
std::uint64_t checksum(const KeyMap &Map);

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_KEY_MAP_CHANGE_H
