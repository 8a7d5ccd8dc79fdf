// Tests of targets that are about to stop: once the drain time is over they get
// no requests, whatever happens to the node beside them.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "orioledoor/routing/testing/entry_fixture.h"
#include "orioledoor/routing/testing/target_load.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FarNode;
using testing::NearNode;

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

class TargetLeavingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetLeavingTest);
  CPPUNIT_TEST(avoidsLeavingTargetsWhoseNodeRestarts);
  CPPUNIT_TEST(avoidsLeavingTargetsWhoseEntryLapsed);
  CPPUNIT_TEST(drainsTargetsThatLeaveByAnAnswer);
  CPPUNIT_TEST_SUITE_END();

public:
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

  // A target that said only in its answers that it leaves got requests for as
  // long as it served them.
  void drainsTargetsThatLeaveByAnAnswer() {
    testing::TargetLoad Load({.RequestsPerSecond = 50});
    Load.run(seconds(3));
    Load.setLeaving(true);
    Instant LeavesAt = Load.Now;
    Load.run(seconds(4));
    // An answer reaches its caller at the earliest when the target sends it.
    CPPUNIT_ASSERT(Load.startsFrom(LeavesAt + milliseconds(500)) > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         Load.startsFrom(LeavesAt + seconds(2)));
    CPPUNIT_ASSERT(Load.Refused >= 2 * 50 * 9 / 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLeavingTest);

} // namespace
} // namespace orioledoor::routing
