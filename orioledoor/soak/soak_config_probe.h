// Writes configurations that add and drop routes, requests these routes from
// every node, and checks that each change is in force in time.
//
//   SoakConfigProbe Probe(Fleet, Checker);
//   Probe.step(Now);                      // every 20 ms
#ifndef ORIOLEDOOR_SOAK_SOAK_CONFIG_PROBE_H
#define ORIOLEDOOR_SOAK_SOAK_CONFIG_PROBE_H

#include <cstddef>
#include <cstdint>
#include <string>

#include "orioledoor/base/instant.h"

namespace orioledoor::soak {

class SoakFleet;
class SoakChecker;

// Not thread-safe.
class SoakConfigProbe {
public:
  SoakConfigProbe(SoakFleet &Fleet, SoakChecker &Checker)
      : Fleet(Fleet), Checker(Checker) {}

  // Sends the requests that are due, and writes a new configuration at a fixed
  // interval.
  void step(Instant Now);
  // Returns the number of answers that were checked.
  std::uint64_t checkedAnswers() const { return this->CheckedAnswers; }

private:
  void sendRequest(std::size_t NodeIndex, const std::string &Path, bool Exists);

  SoakFleet &Fleet;
  SoakChecker &Checker;
  Instant NextChangeAt;
  Instant NextRequestAt;
  std::uint64_t LastAttempt = 0;
  std::uint64_t CheckedAnswers = 0;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_SOAK_CONFIG_PROBE_H
