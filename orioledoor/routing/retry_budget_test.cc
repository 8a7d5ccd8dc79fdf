// Tests of the retry budget of a fleet: the sum of what its nodes repeat.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "orioledoor/routing/testing/entry_fixture.h"
#include "orioledoor/routing/testing/retry_fleet.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FarNode;
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
      Fleet.setFailing(true);
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
    RetryFleetOptions Options{
        .Nodes = 295, .RequestsPerSecond = 150, .Extra = 630, .CallsPerRun = 5};
    RetryFleet Fleet(Options);
    Fleet.run(seconds(25));
    Fleet.setFailing(true);
    Fleet.run(seconds(15));
    checkWithinAllowance(Fleet, Options, "five calls a run");
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
    Fleet.setFailing(true);
    Fleet.run(seconds(15));
    checkWithinAllowance(Fleet, Options, "falling demand");
  }

  // Guards against new processes that bring a new allowance with them.
  void restartsAndJoinsStayWithinTheAllowance() {
    RetryFleetOptions Options{
        .Nodes = 295, .RequestsPerSecond = 1200, .Extra = 630};
    RetryFleet Restarted(Options);
    Restarted.run(seconds(25));
    Restarted.setFailing(true);
    Restarted.run(seconds(3));
    Restarted.restart(295, 295);
    Restarted.run(seconds(10));
    checkWithinAllowance(Restarted, Options, "restart of all");
    Options.Nodes = 195;
    RetryFleet Grown(Options);
    Grown.run(seconds(25));
    Grown.setFailing(true);
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
    Fleet.setFailing(true);
    Fleet.run(seconds(15));
    checkWithinAllowance(Fleet, Options, "parted fleet");
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
