// Reads the monotonic clock that includes the time of suspension.
#include "orioledoor/base/instant.h"

#include <ctime>

namespace orioledoor {

Instant readClock() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return Instant(static_cast<std::int64_t>(Time.tv_sec) * 1'000'000 +
                 Time.tv_nsec / 1'000);
}

} // namespace orioledoor
