// Plays seeded schedules of faults on simulated fleets and checks that keys
// have one holder, and all of them one once the faults have ended.
#ifndef ORIOLEDOOR_SIDECAR_TESTING_KEY_SCHEDULES_H
#define ORIOLEDOOR_SIDECAR_TESTING_KEY_SCHEDULES_H

#include "orioledoor/base/instant.h"
#include "orioledoor/sidecar/testing/model_fleet.h"
#include "orioledoor/sidecar/testing/seed_range.h"

namespace orioledoor::sidecar::testing {

struct KeyScheduleCounts {
  int Failed = 0;
  int Moves = 0;
};

// Plays 45 s of Kind with each seed, then RecoveryTime without faults. Writes
// each failed seed to standard error, and the history if there is one seed.
KeyScheduleCounts playKeySchedules(ModelSchedule Kind, SeedRange Seeds,
                                   Duration RecoveryTime);

} // namespace orioledoor::sidecar::testing

#endif // ORIOLEDOOR_SIDECAR_TESTING_KEY_SCHEDULES_H
