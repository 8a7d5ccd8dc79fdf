// Tests that a departure counts which a target has announced, whatever comes
// late or restarts afterwards: the node beside it, that node's next process,
// and the other nodes remember it.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>

#include "orioledoor/sidecar/node_entry.h"
#include "orioledoor/sidecar/testing/reducer_fixture.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::OwnAddress;
using testing::ReducerFixture;

constexpr char OtherAddress[] = "tcp://10.0.0.2:7100";

// Returns the entry of the other node's new process, which has not heard from a
// target yet.
NodeEntry restartedNode() {
  NodeEntry Entry;
  Entry.Node = OtherAddress;
  Entry.Process = 3;
  Entry.Place = {"d1", "r1"};
  Entry.Service = "keyed";
  return Entry;
}

// Returns the reminder that Sidecar sends when this entry reaches it, or null.
const routing::TargetLeavingNotice *announce(ReducerFixture &Sidecar,
                                             const NodeEntry &Entry,
                                             std::int64_t Revision) {
  Sidecar.dispatch(PeerMessageReceived{
      Entry.Node, routing::NodeNotice{Revision, encodeNodeEntry(Entry)}});
  return Sidecar.findMessage<routing::TargetLeavingNotice>();
}

class TargetDepartureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetDepartureTest);
  CPPUNIT_TEST(deregisteredTargetsStayGoneAfterALateReport);
  CPPUNIT_TEST(remindsJoiningNodesBeforeTheirTargetsReport);
  CPPUNIT_TEST(deregistrationsOutliveTwoRestarts);
  CPPUNIT_TEST(remindsRestartedNodesOfLeavingTargets);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a node that has just started, acknowledges a deregistration
  // and announces the target as ready when a late report arrives: requests
  // reached it after the drain time and ended with it.
  void deregisteredTargetsStayGoneAfterALateReport() {
    ReducerFixture Sidecar;
    Sidecar.joinFleet();
    Sidecar.dispatch(TargetDeregistered{"i-1", /*WallTimeMs=*/1000});
    Sidecar.advance(seconds(3));
    Sidecar.report(1);
    CPPUNIT_ASSERT(Sidecar.Reducer.gate().state() ==
                   routing::TargetState::Absent);
    CPPUNIT_ASSERT(Sidecar.Reducer.membership().selfEntry().State ==
                   routing::TargetState::Absent);
    // The next incarnation is announced.
    Sidecar.report(1, /*StartTimeMs=*/1001);
    CPPUNIT_ASSERT(Sidecar.Reducer.membership().selfEntry().State ==
                   routing::TargetState::Ready);
  }

  // Guards against requests that reach a target after its drain time: its node
  // restarted, a late report made it ready there, and the first reminder came
  // only in answer to that.
  void remindsJoiningNodesBeforeTheirTargetsReport() {
    routing::TargetRef Left{"i-1", 5, OtherAddress};
    ReducerFixture Knowing;
    Knowing.joinFleet();
    Knowing.addReadRoute();
    Knowing.dispatch(PeerMessageReceived{
        OtherAddress,
        routing::StatusNotice{{.Process = 2,
                               .Sequence = 5,
                               .Target = Left,
                               .Service = "keyed",
                               .State = routing::TargetState::Leaving}}});
    Knowing.advance(seconds(3));
    NodeEntry Joined = restartedNode();
    auto Announce = [&](std::int64_t Revision) {
      return announce(Knowing, Joined, Revision);
    };
    const auto *Notice = Announce(20);
    CPPUNIT_ASSERT(Notice && Notice->Target == Left &&
                   Notice->KnownFor == seconds(3));
    // Nodes that know it, or whose target is a later one, are not reminded.
    Joined.Target = Left;
    Joined.State = routing::TargetState::Leaving;
    CPPUNIT_ASSERT(!Announce(21));
    Joined.Target.StartTimeMs = 6;
    Joined.State = routing::TargetState::Ready;
    CPPUNIT_ASSERT(!Announce(22));
  }

  // Guards against a deregistration that ends with the process that has
  // acknowledged it: the target had not reported to that process, so no other
  // node knew of it, and a late report made it ready in the next process.
  void deregistrationsOutliveTwoRestarts() {
    ReducerFixture First;
    First.joinFleet();
    First.addReadRoute();
    First.dispatch(TargetDeregistered{"i-1", /*WallTimeMs=*/1000});
    const auto *Departure = First.findMessage<routing::TargetLeavingNotice>();
    CPPUNIT_ASSERT(Departure);
    ReducerFixture Other;
    Other.joinFleet();
    Other.addReadRoute();
    routing::TargetLeavingNotice Told = *Departure;
    Told.Target.Node = OtherAddress;
    Other.dispatch(PeerMessageReceived{OtherAddress, Told});
    Other.advance(seconds(3));
    const auto *Reminder = announce(Other, restartedNode(), 20);
    CPPUNIT_ASSERT(Reminder && Reminder->KnownFor == seconds(3));
    routing::TargetLeavingNotice Reminded = *Reminder;
    Reminded.Target.Node = OwnAddress;
    ReducerFixture Second;
    Second.joinFleet();
    Second.dispatch(PeerMessageReceived{OtherAddress, Reminded});
    Second.report(1);
    CPPUNIT_ASSERT(Second.Reducer.gate().state() ==
                   routing::TargetState::Absent);
    // A target that was known to leave is not announced once more.
    ReducerFixture Known;
    Known.joinFleet();
    Known.addReadRoute();
    Known.report(1);
    Known.dispatch(TargetDeregistered{"i-1", 1000});
    CPPUNIT_ASSERT(Known.findMessage<routing::TargetLeavingNotice>());
    Known.dispatch(TargetDeregistered{"i-1", 1001});
    CPPUNIT_ASSERT(!Known.findMessage<routing::TargetLeavingNotice>());
  }

  // Guards against a target that deregistered, serves on and still reports:
  // after a restart its node took it for ready and sent it requests of its
  // callers.
  void remindsRestartedNodesOfLeavingTargets() {
    routing::TargetStatus Status{.Process = 2,
                                 .Sequence = 5,
                                 .Target = {"i-1", 1, OtherAddress},
                                 .Service = "keyed",
                                 .State = routing::TargetState::Leaving};
    ReducerFixture Knowing;
    Knowing.joinFleet();
    Knowing.addReadRoute();
    Knowing.dispatch(
        PeerMessageReceived{OtherAddress, routing::StatusNotice{Status}});
    CPPUNIT_ASSERT(!Knowing.findMessage<routing::TargetLeavingNotice>());
    Knowing.advance(seconds(3));
    Status.Process = 3;
    Status.State = routing::TargetState::Ready;
    Knowing.dispatch(
        PeerMessageReceived{OtherAddress, routing::StatusNotice{Status}});
    const auto *Notice = Knowing.findMessage<routing::TargetLeavingNotice>();
    CPPUNIT_ASSERT(Notice && Notice->Target == Status.Target &&
                   Notice->KnownFor == seconds(3));
    ReducerFixture Restarted;
    Restarted.joinFleet();
    Restarted.report(1);
    CPPUNIT_ASSERT(Restarted.Reducer.gate().state() ==
                   routing::TargetState::Ready);
    Restarted.dispatch(PeerMessageReceived{
        OtherAddress,
        routing::TargetLeavingNotice{{"i-1", 1, OwnAddress}, seconds(3)}});
    Restarted.report(2);
    Restarted.advance(milliseconds(40));
    CPPUNIT_ASSERT(Restarted.Reducer.gate().state() ==
                   routing::TargetState::Absent);
    Restarted.report(3);
    CPPUNIT_ASSERT(Restarted.Reducer.gate().state() ==
                   routing::TargetState::Absent);
    // The next incarnation is not leaving.
    Restarted.report(1, 2);
    CPPUNIT_ASSERT(Restarted.Reducer.gate().state() ==
                   routing::TargetState::Ready);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetDepartureTest);

} // namespace
} // namespace orioledoor::sidecar
