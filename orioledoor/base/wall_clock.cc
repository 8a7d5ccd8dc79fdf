// Reads the system clock (UTC).
#include "orioledoor/base/wall_clock.h"

#include <chrono>

namespace orioledoor {

std::int64_t readWallMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace orioledoor
