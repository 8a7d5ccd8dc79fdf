// The wall clock, for dates in records that people read. Never used to decide:
// it may jump, and the clocks of two VMs differ.
//
//   Record.TimeMicros = readWallMicros();
#ifndef ORIOLEDOOR_BASE_WALL_CLOCK_H
#define ORIOLEDOOR_BASE_WALL_CLOCK_H

#include <cstdint>

namespace orioledoor {

// UTC, microseconds since 1970. Only shells call this. Thread-safe.
std::int64_t readWallMicros();

} // namespace orioledoor

#endif // ORIOLEDOOR_BASE_WALL_CLOCK_H
