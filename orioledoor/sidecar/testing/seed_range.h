// The seeds of the schedules that a test plays.
#ifndef ORIOLEDOOR_SIDECAR_TESTING_SEED_RANGE_H
#define ORIOLEDOOR_SIDECAR_TESTING_SEED_RANGE_H

#include <cstdint>
#include <cstdlib>

namespace orioledoor::sidecar::testing {

struct SeedRange {
  std::uint64_t First = 1;
  std::uint64_t Count = 0;
};

// Returns the seeds that ORIOLEDOOR_FIRST_SEED and ORIOLEDOOR_SEEDS (their
// number) select; the default is 1 and DefaultCount.
inline SeedRange readSeedRange(std::uint64_t DefaultCount) {
  auto Read = [](const char *Name, std::uint64_t Default) {
    const char *Value = std::getenv(Name);
    return Value ? std::strtoull(Value, nullptr, 10) : Default;
  };
  return {Read("ORIOLEDOOR_FIRST_SEED", 1),
          Read("ORIOLEDOOR_SEEDS", DefaultCount)};
}

} // namespace orioledoor::sidecar::testing

#endif // ORIOLEDOOR_SIDECAR_TESTING_SEED_RANGE_H
