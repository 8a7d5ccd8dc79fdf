// Tests how the gate counts and refuses repeats.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/routing/testing/gate_fixture.h"

namespace orioledoor::routing {
namespace {

class TargetRepeatsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetRepeatsTest);
  CPPUNIT_TEST(repeatsWhoseCallsAreOverBudgetDoNotRun);
  CPPUNIT_TEST(gateKnowsTheShareOfRepeats);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against repeats that run although their calls exceed the budget of
  // another service.
  void repeatsWhoseCallsAreOverBudgetDoNotRun() {
    testing::GateFixture F;
    F.Gate.setRepeatsAllowed(false);
    F.RepeatPercent = SurelyRepeated;
    F.forward(1);
    CPPUNIT_ASSERT(F.endedWith(Outcome::CallsOverBudget));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, F.Gate.refusedRepeats());
    // The call of a run that may be a repeat still runs.
    F.RepeatPercent = 99;
    F.forward(2);
    CPPUNIT_ASSERT(F.startedCallId() != 0);
  }

  // Guards against a share that counts calls which have ended, or not all ways
  // in which they end.
  void gateKnowsTheShareOfRepeats() {
    testing::GateFixture F;
    CPPUNIT_ASSERT_EQUAL(0.0, F.Gate.repeatShare());
    F.RepeatPercent = SurelyRepeated;
    F.forward(1);
    std::uint64_t First = F.startedCallId();
    F.RepeatPercent = 0;
    F.forward(2);
    std::uint64_t Second = F.startedCallId();
    CPPUNIT_ASSERT_EQUAL(0.5, F.Gate.repeatShare());
    F.answer(Second);
    CPPUNIT_ASSERT_EQUAL(1.0, F.Gate.repeatShare());
    F.answer(First);
    F.RepeatPercent = SurelyRepeated;
    F.forward(3);
    F.Gate.handleCallFailure(F.startedCallId(), CallFailure::Broken, "", F.Now,
                             F.Out);
    F.forward(4);
    F.Gate.handleCancel(testing::Peer, {.Id = 4, .Process = 9}, F.Now, F.Out);
    F.RepeatPercent = 0;
    F.forward(5);
    CPPUNIT_ASSERT_EQUAL(0.0, F.Gate.repeatShare());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetRepeatsTest);

} // namespace
} // namespace orioledoor::routing
