// Tests of placement limits at the gate, the last check before a target:
// allowed regions and the evacuation of its failure domain.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "orioledoor/routing/route_table.h"
#include "orioledoor/routing/testing/gate_fixture.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;

// A table with one route to the service "plain".
RouteTable tableAllowing(const std::string &Region) {
  RouteTable Table;
  Route Limited{.Host = "h", .Prefix = "/"};
  Limited.Services = {{"plain", 1}};
  Limited.AllowedRegions = {Region};
  Table.add(Limited);
  Table.finish();
  return Table;
}

// A gate in region "r1" whose failure domain "d1" can be evacuated.
class EvacuableGate : public testing::GateFixture {
public:
  EvacuableGate() {
    this->Gate = TargetGate({.Node = "tcp://10.0.0.1:7100",
                             .Process = 1,
                             .Place = {"d1", "r1"},
                             .EvacuationTime = milliseconds(5000)});
    this->report(1);
    CPPUNIT_ASSERT(this->Gate.state() == TargetState::Evacuated);
    this->evacuate({});
    CPPUNIT_ASSERT(this->Gate.state() == TargetState::Ready);
  }
  void evacuate(const EvacuationNews &News) {
    this->Out.clear();
    this->Gate.handleEvacuation(News, this->Now, this->Out);
  }
  void forwardClass(std::uint64_t Id, std::int32_t Key,
                    RequestClassId RequestClass = 0) {
    this->Out.clear();
    this->Gate.handleForward(testing::Peer,
                             {.Id = Id,
                              .Process = 9,
                              .Service = "plain",
                              .AttemptId = "a" + std::to_string(Id),
                              .TimeLeft = milliseconds(6000),
                              .LatencyLeft = milliseconds(5000),
                              .Key = Key,
                              .LastChoice = true,
                              .RequestClass = RequestClass,
                              .Content = std::make_shared<RequestContent>()},
                             Key == NoKey ? KeyState::NotKeyed : KeyState::Held,
                             this->Now, this->Out);
  }
};

class TargetPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetPlacementTest);
  CPPUNIT_TEST(gateRefusesForbiddenClasses);
  CPPUNIT_TEST(gateServesKeysForTheGrace);
  CPPUNIT_TEST(gateServesNoKeysAfterOldNews);
  CPPUNIT_TEST(leavingTargetsStayLeaving);
  CPPUNIT_TEST(suspectsColdTargetsUntilAReport);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against entry nodes with an older configuration: the gate refuses
  // what its own forbids, also requests that already wait.
  void gateRefusesForbiddenClasses() {
    EvacuableGate F;
    RouteTable Limited = tableAllowing("r2");
    RequestClassId Forbidden =
        requestClassOf("plain", Limited.routes().front());
    for (std::uint64_t Id = 1; Id <= 3; ++Id)
      F.forwardClass(Id, NoKey, Forbidden);
    CPPUNIT_ASSERT(!F.result());
    F.Out.clear();
    F.Gate.setRoutes(Limited, F.Now, F.Out);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, F.Gate.openRequests());
    F.forwardClass(4, NoKey, Forbidden);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    // A class that the configuration does not have is accepted.
    F.forwardClass(5, NoKey, Forbidden + 1);
    CPPUNIT_ASSERT(!F.result());
    F.Gate.setRoutes(tableAllowing("r1"), F.Now, F.Out);
    F.forwardClass(6, NoKey, Forbidden);
    CPPUNIT_ASSERT(!F.result());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, F.Gate.regionRefusals());
  }

  // Guards against requests at an evacuated target: those without a key at
  // once, those with one, also waiting ones, after the grace.
  void gateServesKeysForTheGrace() {
    EvacuableGate F;
    F.forwardClass(1, 7);
    std::uint64_t First = F.startedCallId();
    F.forwardClass(2, 7);
    F.forwardClass(3, NoKey);
    F.forwardClass(4, 7);
    F.forwardClass(5, 7);
    F.evacuate({.Evacuated = true});
    CPPUNIT_ASSERT(F.Gate.state() == TargetState::Evacuated);
    CPPUNIT_ASSERT(F.Gate.status(F.Now).State == TargetState::Evacuated);
    CPPUNIT_ASSERT(F.result() && F.result()->Id == 3);
    F.forwardClass(6, NoKey);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    F.answer(First);
    CPPUNIT_ASSERT_EQUAL(std::string("a4"), F.startedAttempt());
    F.advance(milliseconds(2400));
    CPPUNIT_ASSERT(F.result() && F.result()->Id == 5);
    F.forwardClass(7, 7);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    // The entry node finds the new owner of a key that has moved.
    F.forward(10, 1, true, milliseconds(400), KeyState::NotHeld);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NotOwner));
    // A new incarnation of the target gets nothing either.
    F.report(1, 2);
    F.forwardClass(8, 7);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    F.evacuate({.Ended = true});
    F.forwardClass(9, NoKey);
    CPPUNIT_ASSERT(!F.result());
  }

  // Guards against a second grace for an evacuation that began long ago, which
  // a node finds in the store after a restart or an outage.
  void gateServesNoKeysAfterOldNews() {
    EvacuableGate F;
    F.evacuate({.Evacuated = true, .MayBeOld = true});
    F.forwardClass(1, 7);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    F.evacuate({.Evacuated = true});
    F.forwardClass(2, 7);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
  }

  // Guards against a leaving target that gets requests again when an evacuation
  // ends.
  void leavingTargetsStayLeaving() {
    EvacuableGate F;
    F.evacuate({.Evacuated = true});
    F.report(2, 1, true);
    CPPUNIT_ASSERT(F.Gate.state() == TargetState::Leaving);
    F.evacuate({.Ended = true});
    CPPUNIT_ASSERT(F.Gate.state() == TargetState::Leaving);
  }

  // Guards against full load on a target that has cooled down: no report since
  // the end of the evacuation says how it is.
  void suspectsColdTargetsUntilAReport() {
    EvacuableGate F;
    F.evacuate({.Evacuated = true});
    F.report(2);
    CPPUNIT_ASSERT(!F.Gate.isSuspectedCold());
    F.evacuate({.Ended = true});
    CPPUNIT_ASSERT(F.Gate.isSuspectedCold());
    F.report(3);
    CPPUNIT_ASSERT(!F.Gate.isSuspectedCold());
    // Both changes came at once, after a cut.
    F.evacuate({.Ended = true, .MayBeOld = true});
    CPPUNIT_ASSERT(F.Gate.isSuspectedCold());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPlacementTest);

} // namespace
} // namespace orioledoor::routing
