// Tests of what targets signal in their answers: a limit on their request rate,
// and that they are about to stop.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "orioledoor/routing/testing/entry_fixture.h"
#include "orioledoor/routing/testing/limited_load.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FarNode;
using testing::LimitedLoad;
using testing::NearNode;

// The platform allows half as much again as the limit over this window, plus
// five requests, from three seconds after the limit was first stated.
constexpr Duration Window = seconds(4);
constexpr Duration Notice = seconds(3);

double allowedIn(Duration Time, double LimitPerSecond) {
  return 1.5 * LimitPerSecond * static_cast<double>(Time.count()) / 1e6 + 5;
}

TargetStatus statusOf(const std::string &Node, TargetState State,
                      std::uint64_t Process, std::uint64_t Sequence) {
  return {.Process = Process,
          .Sequence = Sequence,
          .Target = {"i", 1, Node},
          .Service = "plain",
          .State = State,
          .Slots = 4,
          .ServiceTime = milliseconds(50)};
}

class TargetLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetLimitTest);
  CPPUNIT_TEST(keepsToTheStatedRate);
  CPPUNIT_TEST(keepsToTheStatedRateAcrossRestarts);
  CPPUNIT_TEST(avoidsLeavingTargetsWhoseNodeRestarts);
  CPPUNIT_TEST(avoidsLeavingTargetsWhoseEntryLapsed);
  CPPUNIT_TEST_SUITE_END();

public:
  // A target in need got three times the rate that it stated.
  void keepsToTheStatedRate() {
    LimitedLoad Load({.RequestsPerSecond = 110});
    Load.run(seconds(3));
    Load.setLimit(35);
    Instant LimitedAt = Load.Now;
    Load.run(seconds(20));
    CPPUNIT_ASSERT(static_cast<double>(Load.mostStartsIn(
                       Window, LimitedAt + Notice)) <= allowedIn(Window, 35));
    // The rate that the target accepts is used.
    CPPUNIT_ASSERT(Load.startsFrom(LimitedAt + Notice) >= 17 * 35 * 9 / 10);
    Load.setLimit(std::nullopt);
    Load.run(seconds(1));
    Instant LiftedAt = Load.Now;
    Load.run(seconds(4));
    CPPUNIT_ASSERT(Load.startsFrom(LiftedAt) >= 4 * 110 * 9 / 10);
  }

  // A restarted node filled all slots of a limited target at once, before it
  // had the first answer that states the limit.
  void keepsToTheStatedRateAcrossRestarts() {
    LimitedLoad Load({.RequestsPerSecond = 110,
                      .Slots = 18,
                      .ServiceTime = milliseconds(300),
                      .LatencyTarget = milliseconds(1000)});
    Load.setLimit(2);
    Instant LimitedAt = Load.Now;
    Load.run(seconds(10));
    for (int Restarts = 0; Restarts < 2; ++Restarts) {
      Load.restartNode();
      Load.run(milliseconds(1500));
    }
    Load.run(seconds(6));
    CPPUNIT_ASSERT(static_cast<double>(Load.mostStartsIn(
                       Window, LimitedAt + Notice)) <= allowedIn(Window, 2));
  }

  // After the restart of the node beside it, a target that had been leaving for
  // longer than the drain time got requests again.
  void avoidsLeavingTargetsWhoseNodeRestarts() {
    testing::EntryFixture F;
    F.Directory.update(statusOf(NearNode, TargetState::Leaving, 1, 2), F.Now);
    F.advance(seconds(2));
    F.Directory.update(statusOf(NearNode, TargetState::Ready, 2, 1), F.Now);
    std::string To;
    F.sendRequest(1, "/read/x");
    CPPUNIT_ASSERT(F.sent(&To));
    CPPUNIT_ASSERT_EQUAL(std::string(FarNode), To);
    F.Owner.Target = {"i", 1, NearNode};
    F.sendRequest(2, "/keyed/x", 7);
    CPPUNIT_ASSERT(!F.sent());
    CPPUNIT_ASSERT_EQUAL(503, F.status());
    // The next incarnation of the target gets requests.
    F.Owner.Target = {"i", 2, NearNode};
    F.sendRequest(3, "/keyed/x", 7);
    CPPUNIT_ASSERT(F.sent());
  }

  // A node that was removed and came back, for example because its entry had
  // lapsed, was taken for one whose target is not leaving.
  void avoidsLeavingTargetsWhoseEntryLapsed() {
    testing::EntryFixture F;
    F.Directory.update(statusOf(NearNode, TargetState::Leaving, 1, 2), F.Now);
    F.Directory.removeNode(NearNode);
    F.advance(seconds(2));
    F.addTarget(NearNode, {"d1", "r1"});
    std::string To;
    F.sendRequest(1, "/read/x");
    CPPUNIT_ASSERT(F.sent(&To));
    CPPUNIT_ASSERT_EQUAL(std::string(FarNode), To);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLimitTest);

} // namespace
} // namespace orioledoor::routing
