// Tests exclusive ownership of keys in a simulated fleet. Over seeded schedules
// of crashes, frozen processes, network partitions, store outages, and lost and
// delayed writes, no key may have two holders, no fencing token may decrease,
// and every key must be held again once the faults have ended.
//
// ORIOLEDOOR_SEEDS and ORIOLEDOOR_FIRST_SEED select other schedules.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

#include "orioledoor/sidecar/testing/model_fleet.h"
#include "orioledoor/sidecar/testing/seed_range.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t DefaultSeeds = 150;
// Time to recover after the last fault: the grace period for a missing entry,
// the longest wait for a lost owner and two report intervals, with one repeated
// planned move in between.
constexpr Duration RecoveryTime = seconds(25);

class KeyOwnershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyOwnershipTest);
  CPPUNIT_TEST(fleetWithoutFaultsHoldsAllKeys);
  CPPUNIT_TEST(ownershipIsExclusiveUnderFaults);
  CPPUNIT_TEST_SUITE_END();

public:
  void fleetWithoutFaultsHoldsAllKeys() {
    testing::ModelFleet Fleet(1, 6);
    // Traffic starts eight seconds after the VMs start.
    Fleet.run(seconds(6), false);
    CPPUNIT_ASSERT_EQUAL(std::string(), Fleet.failure());
    CPPUNIT_ASSERT_EQUAL(0, Fleet.unheldKeys());
    Fleet.run(seconds(60), false);
    CPPUNIT_ASSERT_EQUAL(0, Fleet.moves());
  }

  void ownershipIsExclusiveUnderFaults() {
    auto [First, Count] = testing::readSeedRange(DefaultSeeds);
    int Failed = 0;
    int Moves = 0;
    for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
      testing::ModelFleet Fleet(Seed, 3 + static_cast<int>(Seed % 5));
      Fleet.run(seconds(45), true);
      if (Fleet.failure().empty())
        Fleet.run(RecoveryTime, false);
      Moves += Fleet.moves();
      std::string Failure = Fleet.failure();
      if (Failure.empty() && Fleet.unheldKeys() > 0)
        Failure = std::to_string(Fleet.unheldKeys()) +
                  " sampled keys are not held after the faults";
      if (Failure.empty())
        continue;
      ++Failed;
      std::cerr << "seed " << Seed << ": " << Failure << "\n";
      if (Count == 1)
        for (const std::string &Line : Fleet.history())
          std::cerr << "  " << Line << "\n";
    }
    CPPUNIT_ASSERT_EQUAL(0, Failed);
    // Checks that the schedules cause key moves at all.
    CPPUNIT_ASSERT(Count < 10 || Moves > 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyOwnershipTest);

} // namespace
} // namespace orioledoor::sidecar
