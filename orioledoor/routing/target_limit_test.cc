// Tests of targets that state a limit on their request rate in their answers.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/routing/target_directory.h"
#include "orioledoor/routing/testing/target_load.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::TargetLoad;

// The platform allows half as much again as the limit over this window, plus
// five requests, from three seconds after the limit was first stated.
constexpr Duration Window = seconds(4);
constexpr Duration Notice = seconds(3);

double allowedIn(Duration Time, double LimitPerSecond) {
  return 1.5 * LimitPerSecond * static_cast<double>(Time.count()) / 1e6 + 5;
}

class TargetLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetLimitTest);
  CPPUNIT_TEST(keepsToTheStatedRate);
  CPPUNIT_TEST(keepsToTheStatedRateAcrossRestarts);
  CPPUNIT_TEST(keepsToTheRateOfASlowTargetAcrossRestarts);
  CPPUNIT_TEST(choosesOtherTargetsBeforeALimitedOne);
  CPPUNIT_TEST_SUITE_END();

public:
  // A target in need got three times the rate that it stated.
  void keepsToTheStatedRate() {
    TargetLoad Load({.RequestsPerSecond = 110});
    Load.run(seconds(3));
    Load.setLimit(35);
    Instant LimitedAt = Load.Now;
    Load.run(seconds(20));
    CPPUNIT_ASSERT(static_cast<double>(Load.mostStartsIn(
                       Window, LimitedAt + Notice)) <= allowedIn(Window, 35));
    // The rate that the target accepts is used. What exceeds it is refused
    // while its latency target could still be met, and told when to come back.
    CPPUNIT_ASSERT(Load.startsFrom(LimitedAt + Notice) >= 17 * 35 * 9 / 10);
    CPPUNIT_ASSERT(Load.LongestWaitOfRefused <= milliseconds(250 - 70));
    CPPUNIT_ASSERT(Load.ShortestRetryAfter >= seconds(1));
    CPPUNIT_ASSERT(Load.Refused >= 17 * (110 - 35) * 9 / 10);
    Load.setLimit(std::nullopt);
    Load.run(seconds(1));
    Instant LiftedAt = Load.Now;
    Load.run(seconds(4));
    CPPUNIT_ASSERT(Load.startsFrom(LiftedAt) >= 4 * 110 * 9 / 10);
  }

  // A restarted node filled all slots of a limited target at once, before it
  // had the first answer that states the limit.
  void keepsToTheStatedRateAcrossRestarts() {
    TargetLoad Load({.RequestsPerSecond = 110,
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

  // A restarted node filled all slots of a limited target that takes longer to
  // answer than the node waited to learn its limit.
  void keepsToTheRateOfASlowTargetAcrossRestarts() {
    for (Duration ServiceTime : {milliseconds(700), milliseconds(1500)}) {
      TargetLoad Load({.RequestsPerSecond = 110,
                       .Slots = 18,
                       .ServiceTime = ServiceTime,
                       .LatencyTarget = seconds(3),
                       .TimeLeft = seconds(3)});
      Load.setLimit(2);
      Instant LimitedAt = Load.Now;
      Load.run(seconds(10));
      Load.restartNode();
      Load.run(seconds(6));
      CPPUNIT_ASSERT(static_cast<double>(Load.mostStartsIn(
                         Window, LimitedAt + Notice)) <= allowedIn(Window, 2));
    }
  }

  // Nodes sent each request to the nearest target first, which refused most of
  // them because of its limit.
  void choosesOtherTargetsBeforeALimitedOne() {
    TargetDirectory Directory({"d1", "r1"}, "own");
    Directory.setNode("near", {"d1", "r1"});
    Directory.setNode("far", {"d2", "r1"});
    StartPacer Pacer;
    Pacer.setInterval(startInterval(10));
    Instant Now{std::int64_t{1'000'000}};
    std::uint64_t Sequence = 0;
    auto Update = [&](const std::string &Node, bool Limited) {
      TargetStatus Status{.Process = 1,
                          .Sequence = ++Sequence,
                          .Target = {"i", 1, Node},
                          .Service = "plain",
                          .State = TargetState::Ready,
                          .Slots = 10,
                          .ServiceTime = milliseconds(50)};
      if (Limited) {
        Status.StartInterval = Pacer.interval();
        Status.StartWait = Pacer.waitFor(0, Now);
      }
      Directory.update(Status, Now);
    };
    Update("near", true);
    Update("far", false);
    int Refused = 0;
    int Near = 0;
    constexpr int Requests = 500;
    for (int Request = 0; Request < Requests; ++Request) {
      Now = Now + milliseconds(20);
      TargetChoice Choice =
          Directory.choose({.Service = "plain", .Bytes = 2048}, Now);
      if (*Choice.Node == "far") {
        Update("far", false);
        continue;
      }
      // Each result carries the status of its target.
      if (Pacer.waitFor(0, Now) > Choice.CostGapToNext) {
        ++Refused;
      } else {
        ++Near;
        Pacer.noteStart(Now);
      }
      Update("near", true);
    }
    CPPUNIT_ASSERT(Refused <= Requests / 20);
    // The limit is used: 10 of the 50 requests/s.
    CPPUNIT_ASSERT(Near >= Requests / 5 * 9 / 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLimitTest);

} // namespace
} // namespace orioledoor::routing
