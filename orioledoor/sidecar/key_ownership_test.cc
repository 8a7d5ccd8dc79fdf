// Tests exclusive ownership of keys in a simulated fleet. Over seeded schedules
// of crashes, frozen processes, network partitions, store outages, and lost and
// delayed writes, no key may have two holders, no fencing token may decrease,
// and every key must be held again once the faults have ended.
//
// ORIOLEDOOR_SEEDS and ORIOLEDOOR_FIRST_SEED select other schedules.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "orioledoor/sidecar/testing/key_schedules.h"
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
  CPPUNIT_TEST(evacuationMovesAllKeys);
  CPPUNIT_TEST(ownershipIsExclusiveUnderEvacuations);
  CPPUNIT_TEST(lateReportsGiveNoKeyTwoHolders);
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
    this->play(testing::ModelSchedule::KeyFaults, DefaultSeeds);
  }

  // Guards against keys that stay with targets of an evacuated failure domain,
  // or move to other targets there, until the time for the evacuation is over.
  void evacuationMovesAllKeys() {
    testing::ModelFleet Fleet(1, 9, testing::ModelSchedule::KeyEvacuations);
    Fleet.run(seconds(8), false);
    Fleet.evacuate(1);
    CPPUNIT_ASSERT(Fleet.evacuatedKeys() > 0);
    Fleet.run(seconds(5), false);
    CPPUNIT_ASSERT_EQUAL(0, Fleet.evacuatedKeys());
    CPPUNIT_ASSERT_EQUAL(0, Fleet.unheldKeys());
    Fleet.endEvacuation();
    Fleet.run(seconds(10), false);
    CPPUNIT_ASSERT_EQUAL(std::string(), Fleet.failure());
    Fleet.evacuate(1);
    CPPUNIT_ASSERT(Fleet.evacuatedKeys() > 0);
  }

  // Guards against moves away from an evacuated target that break the rules of
  // ownership, while processes, the store and the network fail.
  void ownershipIsExclusiveUnderEvacuations() {
    this->play(testing::ModelSchedule::KeyEvacuations, DefaultSeeds / 3);
  }

  // Guards against a restarted node that takes a late report for the present
  // holds of its target, and passes keys on that the target still holds.
  void lateReportsGiveNoKeyTwoHolders() {
    this->play(testing::ModelSchedule::LateReports, DefaultSeeds);
  }

private:
  void play(testing::ModelSchedule Schedule, std::uint64_t Seeds) {
    testing::SeedRange Range = testing::readSeedRange(Seeds);
    auto [Failed, Moves] =
        testing::playKeySchedules(Schedule, Range, RecoveryTime);
    CPPUNIT_ASSERT_EQUAL(0, Failed);
    // Checks that the schedules cause key moves at all.
    CPPUNIT_ASSERT(Range.Count < 10 || Moves > 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyOwnershipTest);

} // namespace
} // namespace orioledoor::sidecar
