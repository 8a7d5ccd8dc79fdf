// Jittered exponential backoff between the tries of a request.
#ifndef ORIOLEDOOR_REQUESTS_BACKOFF_H
#define ORIOLEDOOR_REQUESTS_BACKOFF_H

#include <algorithm>
#include <cstdint>

#include "orioledoor/base/instant.h"

namespace orioledoor::requests {

// Returns a random delay between half of the nominal delay and the nominal
// delay, which is 5 ms and doubles with each retry up to 80 ms.
inline Duration backoffDelay(std::uint32_t Retries, std::uint64_t Random) {
  std::int64_t Full = 5'000LL << std::min(Retries, std::uint32_t{4});
  return Duration(
      Full / 2 +
      static_cast<std::int64_t>(Random % static_cast<std::uint64_t>(Full / 2)));
}

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_BACKOFF_H
