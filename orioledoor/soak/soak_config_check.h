// Asks every node for routes that configurations added and dropped, and judges
// whether a change is in force in time.
//
//   SoakConfigCheck Check(Fleet, Judge);
//   Check.step(Now);                      // every 20 ms
#ifndef ORIOLEDOOR_SOAK_SOAK_CONFIG_CHECK_H
#define ORIOLEDOOR_SOAK_SOAK_CONFIG_CHECK_H

#include <cstddef>
#include <cstdint>
#include <string>

#include "orioledoor/base/instant.h"

namespace orioledoor::soak {

class SoakFleet;
class SoakJudge;

// Not thread-safe.
class SoakConfigCheck {
public:
  SoakConfigCheck(SoakFleet &Fleet, SoakJudge &Judge)
      : Fleet(Fleet), Judge(Judge) {}

  // Also writes a new configuration at a steady pace.
  void step(Instant Now);
  // Answers that a node gave in time to be judged.
  std::uint64_t judged() const { return this->Judged; }

private:
  void ask(std::size_t Index, const std::string &Path, bool Exists);

  SoakFleet &Fleet;
  SoakJudge &Judge;
  Instant NextChangeAt;
  Instant NextAskAt;
  std::uint64_t LastAttempt = 0;
  std::uint64_t Judged = 0;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_SOAK_CONFIG_CHECK_H
