// The wall clock, for timestamps in records that people read. Not suitable for
// timeouts or for ordering events: it may jump, and the clocks of two VMs
// differ. The start times that targets state are an exception: they come from
// the clock of their VM and are compared with nothing else.
//
//   Record.TimeMicros = readWallMicros();
#ifndef ORIOLEDOOR_BASE_WALL_CLOCK_H
#define ORIOLEDOOR_BASE_WALL_CLOCK_H

#include <cstdint>

namespace orioledoor {

// Returns the UTC time in microseconds since the Unix epoch. Only the code that
// performs I/O calls this; the state machines (reducers) get the time with each
// event. Thread-safe.
std::int64_t readWallMicros();

} // namespace orioledoor

#endif // ORIOLEDOOR_BASE_WALL_CLOCK_H
