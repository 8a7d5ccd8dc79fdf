// Guards sole ownership of keys against the naive model: over seeded schedules
// of crashes, freezes, cuts, outages of the store, lost and late writes, no key
// has two holders, no token falls, and every key is held again once the faults
// have ended.
//
// ORIOLEDOOR_SEEDS and ORIOLEDOOR_FIRST_SEED choose other schedules by hand.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include "orioledoor/sidecar/testing/model_fleet.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t DefaultSeeds = 150;
// After the last fault: the missing grace, the longest wait for a lost owner
// and two intervals of reports, with a repeated planned move in between.
constexpr Duration RecoveryTime = seconds(25);

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Given = std::getenv(Name);
  return Given ? std::strtoull(Given, nullptr, 10) : Default;
}

class KeyOwnershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyOwnershipTest);
  CPPUNIT_TEST(calmFleetHoldsAllKeys);
  CPPUNIT_TEST(schedulesKeepPromises);
  CPPUNIT_TEST_SUITE_END();

public:
  void calmFleetHoldsAllKeys() {
    testing::ModelFleet Fleet(1, 6);
    // Traffic starts eight seconds after the machines do.
    Fleet.run(seconds(6), false);
    CPPUNIT_ASSERT_EQUAL(std::string(), Fleet.failure());
    CPPUNIT_ASSERT_EQUAL(0, Fleet.unheldKeys());
    Fleet.run(seconds(60), false);
    CPPUNIT_ASSERT_EQUAL(0, Fleet.moves());
  }

  void schedulesKeepPromises() {
    std::uint64_t First = fromEnvironment("ORIOLEDOOR_FIRST_SEED", 1);
    std::uint64_t Count = fromEnvironment("ORIOLEDOOR_SEEDS", DefaultSeeds);
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
    // The schedules exercise moves at all.
    CPPUNIT_ASSERT(Count < 10 || Moves > 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyOwnershipTest);

} // namespace
} // namespace orioledoor::sidecar
