// Hashes keys and service names with XXH3.
#include "orioledoor/base/ids.h"

#include <xxhash.h>

namespace orioledoor {

std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

ServiceId serviceIdOf(std::string_view Name) {
  return ServiceId{static_cast<std::uint32_t>(stableHash(Name))};
}

std::uint32_t sliceOf(std::string_view Key, std::uint32_t SliceCount) {
  return static_cast<std::uint32_t>(stableHash(Key) & (SliceCount - 1));
}

} // namespace orioledoor
