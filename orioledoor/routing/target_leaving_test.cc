// Tests of targets that are about to stop: once the drain time is over they get
// no requests, whatever happens to the node beside them.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "orioledoor/routing/target_departures.h"
#include "orioledoor/routing/target_gate.h"
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

constexpr char OwnNode[] = "tcp://10.0.0.1:7100";

// A gate that has not heard from its target yet.
struct RestartedGate {
  void report(std::int64_t StartTimeMs, Duration After = Duration(0)) {
    this->Now = this->Now + After;
    TargetReport Report;
    Report.Instance = "i-1";
    Report.Service = "plain";
    Report.StartTimeMs = StartTimeMs;
    Report.Sequence = ++this->Sequence;
    this->Gate.handleReport(Report, this->Now, this->Out);
  }

  Instant Now{std::int64_t{1'000'000}};
  TargetGate Gate{{.Node = OwnNode, .Process = 1}};
  Effects Out;
  std::int64_t Sequence = 0;
};

class TargetLeavingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetLeavingTest);
  CPPUNIT_TEST(avoidsLeavingTargetsWhoseNodeRestarts);
  CPPUNIT_TEST(avoidsLeavingTargetsWhoseEntryLapsed);
  CPPUNIT_TEST(drainsTargetsThatLeaveByAnAnswer);
  CPPUNIT_TEST(deregistrationsBeforeTheFirstReportCount);
  CPPUNIT_TEST(remindersBeforeTheFirstReportCount);
  CPPUNIT_TEST(nextIncarnationUnderTheSameIdIsServed);
  CPPUNIT_TEST(keepsTheLatestDepartures);
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
  // Guards against a deregistration that a restarted node acknowledges and
  // forgets, since its target has not reported to the new process: a late
  // report made the target ready again.
  void deregistrationsBeforeTheFirstReportCount() {
    RestartedGate G;
    G.Gate.handleShutdown("i-1", 2000, G.Now, G.Out);
    // The drain time counts from the acknowledgement.
    G.report(1000, milliseconds(500));
    CPPUNIT_ASSERT(G.Gate.state() == TargetState::Leaving);
    G.Now = G.Now + milliseconds(1300);
    G.Gate.tick(G.Now, G.Out);
    CPPUNIT_ASSERT(G.Gate.state() == TargetState::Absent);
    // The drain time was over before the report came.
    RestartedGate Late;
    Late.Gate.handleShutdown("i-1", 2000, Late.Now, Late.Out);
    Late.report(1000, seconds(3));
    CPPUNIT_ASSERT(Late.Gate.state() == TargetState::Absent);
    Late.report(1000);
    CPPUNIT_ASSERT(Late.Gate.state() == TargetState::Absent);
  }

  // Guards against a reminder that comes before the late report and is dropped.
  void remindersBeforeTheFirstReportCount() {
    RestartedGate G;
    G.Gate.handleLeavingNotice({{"i-1", 1000, OwnNode}, seconds(3)}, G.Now,
                               G.Out);
    // Other nodes' targets are none of this gate's.
    G.Gate.handleLeavingNotice({{"i-1", 5000, FarNode}, seconds(3)}, G.Now,
                               G.Out);
    G.report(1000);
    CPPUNIT_ASSERT(G.Gate.state() == TargetState::Absent);
    G.report(1001);
    CPPUNIT_ASSERT(G.Gate.state() == TargetState::Ready);
  }

  // Guards against a departure that is held against the next target, which has
  // started under the same id, and against one that counts for an earlier
  // target with that id instead of the one that left.
  void nextIncarnationUnderTheSameIdIsServed() {
    RestartedGate G;
    G.report(1000);
    CPPUNIT_ASSERT(G.Gate.state() == TargetState::Ready);
    G.Gate.handleShutdown("i-1", 3000, G.Now, G.Out);
    CPPUNIT_ASSERT(G.Gate.state() == TargetState::Leaving);
    G.report(2000);
    CPPUNIT_ASSERT(G.Gate.state() == TargetState::Leaving);
    G.report(3001);
    CPPUNIT_ASSERT(G.Gate.state() == TargetState::Ready);
  }

  // Guards against memory that grows with each departure, and against repeated
  // reminders that displace other targets.
  void keepsTheLatestDepartures() {
    TargetDepartures Departures;
    Instant Now{std::int64_t{10'000'000}};
    auto IsKnown = [&Departures](int Index) {
      return Departures.leavingSince({"i-" + std::to_string(Index), 1, "n"})
          .has_value();
    };
    for (int Index = 0; Index <= 16; ++Index)
      Departures.note("i-" + std::to_string(Index), 1, Now);
    for (int Repeat = 0; Repeat < 100; ++Repeat)
      Departures.note("i-16", 1, Now);
    CPPUNIT_ASSERT(!IsKnown(0));
    CPPUNIT_ASSERT(IsKnown(1));
    CPPUNIT_ASSERT(IsKnown(16));
    // The first acknowledgement of a target counts.
    Departures.note("i-16", 2, Now + seconds(1));
    CPPUNIT_ASSERT(Departures.leavingSince({"i-16", 1, "n"}) == Now);
    CPPUNIT_ASSERT(Departures.leavingSince({"i-16", 2, "n"}) ==
                   Now + seconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLeavingTest);

} // namespace
} // namespace orioledoor::routing
