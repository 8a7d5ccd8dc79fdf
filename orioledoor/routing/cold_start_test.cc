// Tests of the limit for cold targets, with the figures of the deployment that
// states one: 10 requests/s, an overage of 1.5 and a slack of 8 requests.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>

#include "orioledoor/routing/cold_start_limit.h"
#include "orioledoor/routing/route_table.h"
#include "orioledoor/routing/testing/target_load.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::TargetLoad;
using testing::TargetLoadOptions;

constexpr Duration ReportInterval = milliseconds(870);
// What the target bears in any second, and what the pace makes of it.
constexpr std::size_t Bound = 23;
constexpr std::size_t Paced = 19;

TargetLoadOptions coldTarget() {
  return {.RequestsPerSecond = 300,
          .Slots = 12,
          .ColdPerSecond = 10,
          .ColdOverage = 1.5,
          .ColdSlack = 8};
}

// Reports what is left of a cold time at each report interval until it is over,
// and 0 in the next report.
void reportUntilWarm(TargetLoad &Load, Duration Remaining) {
  for (; Remaining > Duration(0); Remaining -= ReportInterval) {
    Load.report(Remaining);
    Load.run(ReportInterval);
  }
  Load.report(Duration(0));
}

class ColdStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdStartTest);
  CPPUNIT_TEST(keepsToTheBoundInAnySecond);
  CPPUNIT_TEST(domainThatReturnsColdIsNotOverrun);
  CPPUNIT_TEST(countsStartsBeforeTheTargetBecameCold);
  CPPUNIT_TEST(changingReportsDoNotLiftTheLimit);
  CPPUNIT_TEST(staysColdWhileReportsAreMissing);
  CPPUNIT_TEST(failedConnectionsMeanColdUntilTheNextReport);
  CPPUNIT_TEST(keepsToTheBoundAcrossRestartsOfTheNode);
  CPPUNIT_TEST(limitsNothingWithoutFigures);
  CPPUNIT_TEST(absurdColdTimesEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  // A burst at a window's edge exceeded the bound, or the stated wait was not
  // the time of the next start.
  void keepsToTheBoundInAnySecond() {
    std::minstd_rand Random(1);
    for (double Tolerated : {0.3, 1.0, 3.4, 10.0, 400.0})
      for (double Slack : {0.0, 1.0, 3.0, 8.0, 50.0}) {
        ColdStartLimit Limit({.Overage = 1.5, .Slack = Slack});
        ServicePolicy Policy{.ColdRequestsPerSecond = Tolerated};
        Limit.setPolicy(&Policy);
        auto Most = std::max(std::size_t{1},
                             static_cast<std::size_t>(Tolerated * 1.5 + Slack));
        Instant Now{std::int64_t{5'000'000}};
        Limit.noteReport(seconds(30), Now);
        std::deque<Instant> Starts;
        for (Instant End = Now + seconds(20); Now < End;) {
          Duration Wait = Limit.waitFor(0, Now);
          if (Wait > Duration(0)) {
            CPPUNIT_ASSERT(!Limit.mayStart(Now + Wait - Duration(1)));
            Now = Now + Wait;
          }
          // Pauses leave unused intervals behind.
          if (Random() % 16 == 0)
            Now = Now + milliseconds(Random() % 700);
          CPPUNIT_ASSERT(Limit.mayStart(Now));
          Limit.noteStart(true, Now);
          Starts.push_back(Now);
          while (Starts.front() + seconds(1) <= Now)
            Starts.pop_front();
          CPPUNIT_ASSERT(Starts.size() <= Most);
        }
      }
  }

  // All targets of a failure domain are cold at once and get thirty times what
  // they tolerate. What they cannot bear is refused at once and told when to
  // come back; the pace is used, and the whole load runs once they are warm.
  void domainThatReturnsColdIsNotOverrun() {
    for (int Target = 0; Target < 15; ++Target) {
      TargetLoad Load(coldTarget());
      Load.run(milliseconds(500 + 60 * Target));
      Instant ColdAt = Load.Now;
      Load.restartTarget(seconds(3), Target % 2 == 0);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(15.0, Load.gate().capacity(), 0.01);
      std::size_t Refused = Load.Refused;
      // The results of the broken calls state no time.
      Load.ShortestRetryAfter = std::chrono::hours(1);
      Load.run(milliseconds(1));
      reportUntilWarm(Load, seconds(3));
      CPPUNIT_ASSERT(Load.mostStartsIn(seconds(1), ColdAt + Duration(1)) <=
                     Paced);
      CPPUNIT_ASSERT(Load.startsFrom(ColdAt + Duration(1)) >= 28);
      // A burst of 4, and one start each 67 ms.
      CPPUNIT_ASSERT(
          Load.mostStartsIn(milliseconds(200), ColdAt + Duration(1)) <= 7);
      CPPUNIT_ASSERT(Load.Refused - Refused >= 831);
      CPPUNIT_ASSERT(Load.LongestWaitOfRefused <= milliseconds(250));
      CPPUNIT_ASSERT(Load.ShortestRetryAfter >= seconds(1));
      CPPUNIT_ASSERT(!Load.gate().isCold());
      Instant WarmAt = Load.Now;
      Load.run(seconds(2));
      CPPUNIT_ASSERT(Load.startsFrom(WarmAt) >= 240);
    }
  }

  // A target that became cold got a whole burst on top of the requests of the
  // second before.
  void countsStartsBeforeTheTargetBecameCold() {
    TargetLoad Load(coldTarget());
    Load.run(seconds(2));
    Instant ColdAt = Load.Now;
    Load.report(seconds(3));
    // 160 requests of the last second have to leave it first.
    Load.run(milliseconds(800));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Load.startsFrom(ColdAt + Duration(1)));
    Load.run(seconds(2));
    CPPUNIT_ASSERT(Load.startsFrom(ColdAt + Duration(1)) >= 28);
    CPPUNIT_ASSERT(Load.mostStartsIn(seconds(1), ColdAt + Duration(1)) <=
                   Paced);
  }

  // A report that says warm within the stated cold time lifted the limit, and
  // the next one began a new burst.
  void changingReportsDoNotLiftTheLimit() {
    TargetLoad Load(coldTarget());
    Instant ColdAt = Load.Now;
    Load.report(milliseconds(2500));
    for (int Report = 0; Report < 12; ++Report) {
      Load.run(ReportInterval);
      Load.report(Report % 2 == 0 ? Duration(0) : milliseconds(2500));
    }
    CPPUNIT_ASSERT(Load.mostStartsIn(seconds(1), ColdAt) <= Paced);
  }

  // Lost reports let a target count as warm too early, or as cold for good.
  void staysColdWhileReportsAreMissing() {
    TargetLoad Load(coldTarget());
    Load.report(seconds(1));
    Load.run(milliseconds(2700));
    CPPUNIT_ASSERT(Load.gate().isCold());
    Load.run(milliseconds(200));
    CPPUNIT_ASSERT(!Load.gate().isCold());
  }

  // A target that had restarted got the whole load until its first report.
  void failedConnectionsMeanColdUntilTheNextReport() {
    for (CallFailure Failure : {CallFailure::NotSent, CallFailure::Broken}) {
      TargetLoad Load(coldTarget());
      Load.run(seconds(2));
      Load.failCalls(Failure);
      Instant FailedAt = Load.Now;
      Load.run(milliseconds(860));
      CPPUNIT_ASSERT(Load.gate().isCold());
      CPPUNIT_ASSERT(Load.startsFrom(FailedAt + Duration(1)) <= Paced);
      Load.report(Duration(0));
      CPPUNIT_ASSERT(!Load.gate().isCold());
    }
    // A slow answer says nothing, nor do calls to an earlier incarnation.
    TargetLoad Load(coldTarget());
    Load.run(seconds(1));
    Load.failCalls(CallFailure::TimedOut);
    Load.run(milliseconds(20));
    CPPUNIT_ASSERT(!Load.gate().isCold());
    Load.restartTarget(Duration(0), false);
    Load.run(milliseconds(20));
    CPPUNIT_ASSERT(!Load.gate().isCold());
  }

  // A restarted node did not know what its predecessor had started.
  void keepsToTheBoundAcrossRestartsOfTheNode() {
    for (int Step = 0; Step < 20; ++Step) {
      TargetLoadOptions Options = coldTarget();
      Options.ServiceTime = milliseconds(5);
      TargetLoad Load(Options);
      Instant ColdAt = Load.Now;
      Load.report(seconds(3));
      Load.run(milliseconds(1300 + 50 * Step));
      Load.restartNode();
      Load.run(milliseconds(1500));
      CPPUNIT_ASSERT(Load.mostStartsIn(seconds(1), ColdAt) <= Bound);
      // The target is used although the predecessor's starts are not known.
      CPPUNIT_ASSERT(Load.startsFrom(Load.Now - milliseconds(500)) >= 6);
    }
  }

  // Deployments without these figures are served as before.
  void limitsNothingWithoutFigures() {
    TargetLoadOptions WithoutRate = coldTarget();
    WithoutRate.ColdPerSecond = 0;
    TargetLoadOptions WithoutOverage = coldTarget();
    WithoutOverage.ColdOverage = 0;
    for (const TargetLoadOptions &Options : {WithoutRate, WithoutOverage}) {
      TargetLoad Load(Options);
      Load.report(seconds(3));
      Load.run(seconds(2));
      Load.failCalls(CallFailure::Broken);
      Load.run(seconds(1));
      CPPUNIT_ASSERT(!Load.gate().isCold());
      CPPUNIT_ASSERT(Load.startsFrom(Load.Now - seconds(1)) >= 120);
      CPPUNIT_ASSERT(Load.gate().status(Load.Now).StartInterval == Duration(0));
    }
  }

  // A report with a wrong unit kept its target at the pace for hours.
  void absurdColdTimesEnd() {
    TargetLoad Load(coldTarget());
    Load.report(std::chrono::hours(3000));
    Load.run(ReportInterval);
    Load.report(Duration(0));
    Load.run(milliseconds(2200));
    CPPUNIT_ASSERT(!Load.gate().isCold());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdStartTest);

} // namespace
} // namespace orioledoor::routing
