// Tests of estimates for targets that state how long work takes there now.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "orioledoor/routing/events.h"
#include "orioledoor/routing/target_directory.h"
#include "orioledoor/routing/target_slowdown.h"
#include "orioledoor/routing/testing/gate_fixture.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::GateFixture;

constexpr RequestClassId Class = 5;

// Runs one request that takes 100 ms at 100 percent.
void runRequest(GateFixture &Fixture, std::uint32_t Percent) {
  static std::uint64_t NextId = 1;
  Fixture.forward(NextId++, 1, true, seconds(3), KeyState::NotKeyed, Class);
  std::uint64_t Call = Fixture.startedCallId();
  CPPUNIT_ASSERT(Call > 0);
  Duration Time = milliseconds(Percent);
  Fixture.Out.clear();
  Fixture.Gate.handleSignals(Call, {.Load = StatedLoad{1, 0, 2, Percent}},
                             Fixture.Now + Time, Fixture.Out);
  Fixture.answer(Call, Time);
}

class TargetSlowdownTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetSlowdownTest);
  CPPUNIT_TEST(meanIsOverTime);
  CPPUNIT_TEST(gateAdmitsByThePresentSlowdown);
  CPPUNIT_TEST(unreadableLoadChangesNothing);
  CPPUNIT_TEST(entryNodesUseFreshFiguresOnly);
  CPPUNIT_TEST_SUITE_END();

public:
  // Fewer answers come from slow spells, so a mean over answers is too low.
  void meanIsOverTime() {
    TargetSlowdown Slowdown;
    CPPUNIT_ASSERT(Slowdown.atMean(milliseconds(70)) == milliseconds(70));
    CPPUNIT_ASSERT_EQUAL(0U, Slowdown.percentOfMean());
    Instant Now{std::int64_t{1'000'000}};
    for (int Millis = 0; Millis < 60'000; ++Millis, Now = Now + milliseconds(1))
      if (bool Slow = Millis % 2000 < 400; Millis % (Slow ? 60 : 20) == 0)
        Slowdown.note(Slow ? 300 : 100, Now);
    Duration Mean = Slowdown.atMean(milliseconds(100));
    CPPUNIT_ASSERT(Mean >= milliseconds(130) && Mean <= milliseconds(150));
    // A figure holds for the spell that it was stated in.
    CPPUNIT_ASSERT(Slowdown.atPresent(milliseconds(100), Now) ==
                   milliseconds(100));
    CPPUNIT_ASSERT(Slowdown.atPresent(milliseconds(100), Now + seconds(1)) ==
                   Mean);
  }

  // The gate admitted requests in a slow spell that could not be in time, and
  // refused some for a while after it that could.
  void gateAdmitsByThePresentSlowdown() {
    GateFixture Fixture;
    for (int Round = 0; Round < 20; ++Round)
      runRequest(Fixture, 100);
    runRequest(Fixture, 300);
    auto Admits = [&Fixture](std::uint64_t Id, Duration LatencyLeft) {
      Fixture.forward(Id, 1, true, LatencyLeft, KeyState::NotKeyed, Class);
      return !Fixture.endedWith(Outcome::Busy);
    };
    // Both slots are taken and a more urgent request waits, so that the next
    // one waits for about 110 ms.
    CPPUNIT_ASSERT(Admits(9001, seconds(3)) && Admits(9002, seconds(3)));
    Fixture.forward(9006, 0, true, seconds(3), KeyState::NotKeyed, Class);
    CPPUNIT_ASSERT(!Admits(9003, milliseconds(450)));
    CPPUNIT_ASSERT(Admits(9004, milliseconds(600)));
    Fixture.cancel(9004);
    Fixture.advance(SlowdownLifetime);
    CPPUNIT_ASSERT(Admits(9005, milliseconds(450)));
    // The times of the slow spell count at the usual speed, and the status
    // states them at the mean.
    TargetStatus Status = Fixture.Gate.status(Fixture.Now);
    CPPUNIT_ASSERT(Status.Times.at(0).Mean >= milliseconds(100) &&
                   Status.Times.at(0).Mean <= milliseconds(101));
    CPPUNIT_ASSERT(Status.SlowdownPercent >= 230 &&
                   Status.SlowdownPercent <= 300);
    CPPUNIT_ASSERT(Status.SlowdownAge == SlowdownLifetime);
  }

  // A malformed figure replaced the last good one.
  void unreadableLoadChangesNothing() {
    GateFixture Fixture;
    runRequest(Fixture, 200);
    Fixture.forward(9101, 1, true, seconds(3));
    Fixture.Gate.handleSignals(Fixture.startedCallId(),
                               {.LoadUnreadable = true}, Fixture.Now,
                               Fixture.Out);
    CPPUNIT_ASSERT_EQUAL(200U, Fixture.Gate.slowdownPercent());
    auto Logged = std::ranges::find_if(Fixture.Out, [](const Effect &Output) {
      const auto *Line = std::get_if<LogRecord>(&Output);
      return Line && Line->Event == &events::TargetLoadUnreadable;
    });
    CPPUNIT_ASSERT(Logged != Fixture.Out.end());
  }

  // Entry nodes avoided a target long after its slow spell, since they hear of
  // it only every few seconds.
  void entryNodesUseFreshFiguresOnly() {
    TargetDirectory Directory({"d1", "r1"}, "own");
    Directory.setNode("near", {"d1", "r1"});
    Instant Now{std::int64_t{1'000'000}};
    auto CostAfter = [&](std::uint32_t Percent, Duration Age,
                         Duration StatusAge) {
      static std::uint64_t Sequence = 0;
      Directory.update({.Process = 1,
                        .Sequence = ++Sequence,
                        .Target = {"i", 1, "near"},
                        .Service = "plain",
                        .State = TargetState::Ready,
                        .Slots = 10,
                        .Times = {{Class, milliseconds(100)}},
                        .SlowdownPercent = Percent,
                        .SlowdownAge = Age},
                       Now);
      return Directory.costOf("near", *Directory.find("near"),
                              {.Service = "plain", .RequestClass = Class},
                              Now + StatusAge);
    };
    CPPUNIT_ASSERT(CostAfter(0, Duration(0), Duration(0)) == milliseconds(100));
    CPPUNIT_ASSERT(CostAfter(250, milliseconds(200), milliseconds(200)) ==
                   milliseconds(250));
    CPPUNIT_ASSERT(CostAfter(50, milliseconds(200), milliseconds(200)) ==
                   milliseconds(50));
    CPPUNIT_ASSERT(CostAfter(250, milliseconds(300), milliseconds(200)) ==
                   milliseconds(100));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSlowdownTest);

} // namespace
} // namespace orioledoor::routing
