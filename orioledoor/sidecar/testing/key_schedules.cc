// Implements the runs of seeded schedules on keys.
#include "orioledoor/sidecar/testing/key_schedules.h"

#include <iostream>
#include <string>

namespace orioledoor::sidecar::testing {

constexpr Duration FaultTime = std::chrono::seconds(45);

KeyScheduleCounts playKeySchedules(ModelSchedule Kind, SeedRange Seeds,
                                   Duration RecoveryTime) {
  KeyScheduleCounts Counts;
  for (std::uint64_t Seed = Seeds.First; Seed < Seeds.First + Seeds.Count;
       ++Seed) {
    ModelFleet Fleet(Seed, 3 + static_cast<int>(Seed % 5), Kind);
    Fleet.run(FaultTime, true);
    if (Fleet.failure().empty())
      Fleet.run(RecoveryTime, false);
    Counts.Moves += Fleet.moves();
    std::string Failure = Fleet.failure();
    if (Failure.empty() && Fleet.unheldKeys() > 0)
      Failure = std::to_string(Fleet.unheldKeys()) +
                " sampled keys are not held after the faults";
    if (Failure.empty())
      continue;
    ++Counts.Failed;
    std::cerr << "seed " << Seed << ": " << Failure << "\n";
    if (Seeds.Count == 1)
      for (const std::string &Line : Fleet.history())
        std::cerr << "  " << Line << "\n";
  }
  return Counts;
}

} // namespace orioledoor::sidecar::testing
