// Points in time and durations.
//
// An Instant counts microseconds of CLOCK_BOOTTIME, the local monotonic clock
// that also advances while the VM is suspended. Instants of different processes
// must not be compared, so messages between processes carry durations. The one
// exception is the time of sending, from which routing/transit_delays.h derives
// delays.
//
//   Instant Now = readClock();
//   Instant End = Now + std::chrono::milliseconds(800);
#ifndef ORIOLEDOOR_BASE_INSTANT_H
#define ORIOLEDOOR_BASE_INSTANT_H

#include <chrono>
#include <compare>
#include <cstdint>

namespace orioledoor {

using Duration = std::chrono::microseconds;

// A point in time of the local CLOCK_BOOTTIME. Value type.
class Instant {
public:
  constexpr Instant() = default;
  constexpr explicit Instant(std::int64_t Micros) : Micros(Micros) {}

  // Microseconds since an arbitrary origin that is fixed until the next boot.
  constexpr std::int64_t micros() const { return this->Micros; }

  friend constexpr auto operator<=>(Instant, Instant) = default;
  friend constexpr Instant operator+(Instant Time, Duration Delta) {
    return Instant(Time.Micros + Delta.count());
  }
  friend constexpr Instant operator-(Instant Time, Duration Delta) {
    return Instant(Time.Micros - Delta.count());
  }
  friend constexpr Duration operator-(Instant Later, Instant Earlier) {
    return Duration(Later.Micros - Earlier.Micros);
  }

private:
  std::int64_t Micros = 0;
};

// Reads CLOCK_BOOTTIME. Only the code that performs I/O calls this; the state
// machines (reducers) get the time with each event, so that tests can replay
// them. Thread-safe.
Instant readClock();

} // namespace orioledoor

#endif // ORIOLEDOOR_BASE_INSTANT_H
