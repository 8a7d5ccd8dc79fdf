// Points in time and durations as the reducers see them.
//
// An Instant counts microseconds of the local clock that keeps running while
// the VM is suspended (CLOCK_BOOTTIME). Instants of different processes are
// not comparable; only durations travel between processes.
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

// A point in time of the local suspension-proof clock. Value type.
class Instant {
public:
  constexpr Instant() = default;
  constexpr explicit Instant(std::int64_t Micros) : Micros(Micros) {}

  // Microseconds since an arbitrary start that is fixed per boot.
  constexpr std::int64_t micros() const { return this->Micros; }

  friend constexpr auto operator<=>(Instant, Instant) = default;
  friend constexpr Instant operator+(Instant At, Duration By) {
    return Instant(At.Micros + By.count());
  }
  friend constexpr Instant operator-(Instant At, Duration By) {
    return Instant(At.Micros - By.count());
  }
  friend constexpr Duration operator-(Instant Later, Instant Earlier) {
    return Duration(Later.Micros - Earlier.Micros);
  }

private:
  std::int64_t Micros = 0;
};

// Reads CLOCK_BOOTTIME. Only shells call this; reducers get the time with
// each event. Thread-safe.
Instant readClock();

} // namespace orioledoor

#endif // ORIOLEDOOR_BASE_INSTANT_H
