// Tests of the retry budget of a fleet: the sum of what its nodes repeat.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "orioledoor/routing/testing/entry_fixture.h"
#include "orioledoor/routing/testing/retry_fleet.h"

namespace orioledoor::routing {
namespace {

using std::chrono::seconds;
using testing::NearNode;
using testing::RetryFleet;
using testing::RetryFleetOptions;

void checkWithinAllowance(const RetryFleet &Fleet,
                          const RetryFleetOptions &Options,
                          const std::string &Case) {
  for (const char *Service : {"front", "back"}) {
    double Excess = Fleet.worstExcess(Service);
    CPPUNIT_ASSERT_MESSAGE(Case + ", " + std::to_string(Options.Nodes) +
                               " nodes, " +
                               std::to_string(Options.RequestsPerSecond) +
                               " requests/s: " + Service + " got " +
                               std::to_string(Excess) + " repeats too many",
                           Excess <= 0);
  }
}

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(fleetsOfAllSizesStayWithinTheAllowance);
  CPPUNIT_TEST(manyCallsOfEachRunStayWithinTheAllowance);
  CPPUNIT_TEST(fallingDemandStaysWithinTheAllowance);
  CPPUNIT_TEST(restartsAndJoinsStayWithinTheAllowance);
  CPPUNIT_TEST(partedFleetsStayWithinTheAllowance);
  CPPUNIT_TEST(callsOfRepeatedRunsAreCharged);
  CPPUNIT_TEST(callsAreRetriedBeforeTheirCallers);
  CPPUNIT_TEST(failuresAreAnsweredWhenTheRepeatMayNotRun);
  CPPUNIT_TEST(requestsWhoseTargetLostTheirKeyTakeFromTheBudget);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a node's share of the fleet's allowance that does not shrink
  // with the fleet, and against repeats of one service that cause more repeats
  // of another than its allowance.
  void fleetsOfAllSizesStayWithinTheAllowance() {
    for (const RetryFleetOptions &Options :
         {RetryFleetOptions{18, 1000, 0.2, 62},
          RetryFleetOptions{87, 2000, 0.2, 214},
          RetryFleetOptions{295, 1200, 0.2, 630},
          RetryFleetOptions{295, 4400, 0.2, 630},
          RetryFleetOptions{470, 1200, 0.2, 1000},
          RetryFleetOptions{470, 4400, 0.2, 1000},
          RetryFleetOptions{.Nodes = 295,
                            .RequestsPerSecond = 2000,
                            .Extra = 630,
                            .EntrySkew = 0.8}}) {
      RetryFleet Fleet(Options);
      Fleet.run(seconds(25));
      Fleet.setFailing(true, true);
      Fleet.run(seconds(15));
      checkWithinAllowance(Fleet, Options, "steady demand");
      // A budget that allows nothing keeps every limit.
      CPPUNIT_ASSERT(Fleet.retries("front") > 0);
      CPPUNIT_ASSERT(Fleet.retries("back") > 0);
    }
  }

  // Guards against repeats whose calls are more than the service that they go
  // to allows, although the repeats themselves are within their own allowance.
  void manyCallsOfEachRunStayWithinTheAllowance() {
    for (bool BackFails : {false, true}) {
      RetryFleetOptions Options{.Nodes = 295,
                                .RequestsPerSecond = 100,
                                .Extra = 1200,
                                .CallsPerRun = 8};
      RetryFleet Fleet(Options);
      Fleet.run(seconds(25));
      Fleet.setFailing(true, BackFails);
      Fleet.run(seconds(15));
      checkWithinAllowance(Fleet, Options, "eight calls a run");
    }
  }

  // Guards against tokens that were saved under high demand and are used when
  // the allowance has fallen.
  void fallingDemandStaysWithinTheAllowance() {
    RetryFleetOptions Options{
        .Nodes = 295, .RequestsPerSecond = 4400, .Extra = 630};
    RetryFleet Fleet(Options);
    Fleet.run(seconds(25));
    Fleet.setRequestRate(400);
    Fleet.run(seconds(12));
    Fleet.setFailing(true, true);
    Fleet.run(seconds(15));
    checkWithinAllowance(Fleet, Options, "falling demand");
  }

  // Guards against new processes that bring a new allowance with them.
  void restartsAndJoinsStayWithinTheAllowance() {
    RetryFleetOptions Options{
        .Nodes = 295, .RequestsPerSecond = 1200, .Extra = 630};
    RetryFleet Restarted(Options);
    Restarted.run(seconds(25));
    Restarted.setFailing(true, true);
    Restarted.run(seconds(3));
    Restarted.restart(295, 295);
    Restarted.run(seconds(10));
    checkWithinAllowance(Restarted, Options, "restart of all");
    Options.Nodes = 195;
    RetryFleet Grown(Options);
    Grown.run(seconds(25));
    Grown.setFailing(true, true);
    Grown.run(seconds(3));
    Grown.join(100);
    Grown.run(seconds(10));
    checkWithinAllowance(Grown, Options, "100 nodes join");
  }

  // Guards against parts of a fleet that each use the whole allowance while
  // they do not see each other.
  void partedFleetsStayWithinTheAllowance() {
    RetryFleetOptions Options{
        .Nodes = 295, .RequestsPerSecond = 1200, .Extra = 630};
    RetryFleet Fleet(Options);
    Fleet.run(seconds(25));
    Fleet.cut();
    Fleet.setFailing(true, true);
    Fleet.run(seconds(15));
    checkWithinAllowance(Fleet, Options, "parted fleet");
  }

  // Guards against calls of repeated runs that no node counts: they are repeats
  // at the service that they go to.
  void callsOfRepeatedRunsAreCharged() {
    testing::EntryFixture F;
    F.LocalRepeatShare = 0.5;
    auto CallWithResult = [&F](std::uint64_t Caller) {
      F.sendRequest(Caller, "/read/x");
      std::string To;
      std::uint8_t Percent = F.sent(&To)->RepeatPercent;
      ForwardResult Result{.Id = F.sent()->Id, .OfRunningWork = true};
      Result.Answer.Status = 200;
      F.Out.clear();
      F.Entry.handleResult(To, std::move(Result), F.Now, F.Out);
      return static_cast<int>(Percent);
    };
    // The class is not known to be calls of targets yet.
    CPPUNIT_ASSERT_EQUAL(0, CallWithResult(1));
    for (std::uint64_t Caller = 2; Caller <= 7; ++Caller)
      CPPUNIT_ASSERT_EQUAL(50, CallWithResult(Caller));
    // The budget of 3 is used, but not exceeded.
    CPPUNIT_ASSERT(!F.Entry.callsOverBudget(F.Now));
    CallWithResult(8);
    CPPUNIT_ASSERT(F.Entry.callsOverBudget(F.Now));
    F.sendRequest(9, "/read/x");
    std::string To;
    F.sent(&To);
    F.receiveResult(To, Outcome::Lost);
    CPPUNIT_ASSERT_EQUAL(502, F.status());
    F.Now = F.Now + seconds(11);
    CPPUNIT_ASSERT(!F.Entry.callsOverBudget(F.Now));
  }

  // Guards against a target's callers that are repeated while retries of its
  // calls are denied: under the load of a service that fails half of its calls,
  // each such repeat fails again and takes the budget of several calls.
  void callsAreRetriedBeforeTheirCallers() {
    testing::EntryFixture F;
    auto FailCall = [&F](std::uint64_t Caller) {
      F.sendRequest(Caller, "/read/x");
      std::string To;
      ForwardResult Result{.Id = F.sent(&To)->Id,
                           .Code = Outcome::Refused,
                           .OfRunningWork = true};
      F.Out.clear();
      F.Entry.handleResult(To, std::move(Result), F.Now, F.Out);
      return F.sent() == nullptr;
    };
    for (std::uint64_t Caller = 1; Caller <= 3; ++Caller) {
      CPPUNIT_ASSERT(!FailCall(Caller));
      CPPUNIT_ASSERT(!F.Entry.callsOverBudget(F.Now));
    }
    CPPUNIT_ASSERT(FailCall(4));
    CPPUNIT_ASSERT(F.Entry.callsOverBudget(F.Now));
    F.Now = F.Now + RetryBudgets::ShortTime;
    CPPUNIT_ASSERT(!F.Entry.callsOverBudget(F.Now));
  }

  // Guards against callers that get a refusal instead of the failure that a
  // target has answered, when the repeat may not run.
  void failuresAreAnsweredWhenTheRepeatMayNotRun() {
    testing::EntryFixture F;
    F.sendRequest(1, "/read/x");
    std::string To;
    F.sent(&To);
    F.receiveResult(To, Outcome::Answered, 500);
    CPPUNIT_ASSERT(F.sent(&To));
    CPPUNIT_ASSERT_EQUAL(int{SurelyRepeated}, int{F.sent()->RepeatPercent});
    F.receiveResult(To, Outcome::CallsOverBudget);
    CPPUNIT_ASSERT_EQUAL(500, F.status());
  }

  // Guards against requests that are sent from target to target while keys
  // move, beyond the attempts of their route and without a budget.
  void requestsWhoseTargetLostTheirKeyTakeFromTheBudget() {
    testing::EntryFixture F;
    F.sendRequest(1, "/keyed/x", 5);
    int Sends = 1;
    for (; Sends < 10; ++Sends) {
      CPPUNIT_ASSERT(F.sent());
      ForwardResult Moved{.Id = F.sent()->Id, .Code = Outcome::NotOwner};
      Moved.Answer.Status = 421;
      F.Out.clear();
      F.Entry.handleResult(NearNode, std::move(Moved), F.Now, F.Out);
      if (F.reply())
        break;
      F.Entry.handleOwnersChanged(F.Now, F.Out);
    }
    CPPUNIT_ASSERT_EQUAL(2, Sends);
    CPPUNIT_ASSERT_EQUAL(503, F.status());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

} // namespace
} // namespace orioledoor::routing
