// Tests the graceful stop of a node: what it takes, answers and sends until it
// exits.
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "orioledoor/routing/events.h"
#include "orioledoor/sidecar/testing/reducer_fixture.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;
using testing::ReducerFixture;

class ReducerStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReducerStopTest);
  CPPUNIT_TEST(answersOpenRequestsBeforeItExits);
  CPPUNIT_TEST(sendsWholeAnswersBeforeItExits);
  CPPUNIT_TEST(waitsUntilItsResultsAreDelivered);
  CPPUNIT_TEST(sendsAnswersThatWaitForTheLink);
  CPPUNIT_TEST(answersLastingRequestsBeforeTheGraceEnds);
  CPPUNIT_TEST(rejectsRequestsLateInTheStop);
  CPPUNIT_TEST(countsFromTheEarliestTimeOfTheSignal);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a process that exits while answers are still in its buffers
  // and callers have not yet learned that it stops.
  void answersOpenRequestsBeforeItExits() {
    ReducerFixture Sidecar;
    Sidecar.joinFleet();
    Sidecar.dispatch(StopRequested{});
    Sidecar.advance(milliseconds(2500));
    CPPUNIT_ASSERT(!Sidecar.find<StopAccepting>() && !Sidecar.find<Exit>());
    Sidecar.advance(milliseconds(200));
    CPPUNIT_ASSERT(Sidecar.find<StopAccepting>() && !Sidecar.find<Exit>());
    Sidecar.advance(milliseconds(250));
    CPPUNIT_ASSERT(!Sidecar.find<Exit>());
    Sidecar.advance(milliseconds(300));
    CPPUNIT_ASSERT(Sidecar.find<Exit>());
  }

  // Guards against a process that exits while parts of answers wait for callers
  // that read slowly, although the grace period goes on.
  void sendsWholeAnswersBeforeItExits() {
    ReducerFixture Sidecar;
    Sidecar.joinFleet();
    Sidecar.dispatch(StopRequested{});
    CPPUNIT_ASSERT(!exitsWithin(Sidecar, milliseconds(5000), {1, 0}));
    CPPUNIT_ASSERT(exitsWithin(Sidecar, milliseconds(460), {0, 0}));
    // The platform ends the process after 6 s.
    ReducerFixture Slow;
    Slow.joinFleet();
    Slow.dispatch(StopRequested{});
    for (int Tick = 0; Tick < 276 && !Slow.find<Exit>(); ++Tick) {
      Slow.Now = Slow.Now + milliseconds(20);
      Slow.dispatch(TimerTicked{1});
    }
    CPPUNIT_ASSERT(Slow.find<Exit>());
  }

  // Guards against a process that exits while its results are on the way to the
  // nodes of their callers, or were lost there: nobody else has them.
  void waitsUntilItsResultsAreDelivered() {
    ReducerFixture Sidecar;
    Sidecar.joinFleet();
    Sidecar.dispatch(StopRequested{});
    CPPUNIT_ASSERT(!exitsWithin(Sidecar, milliseconds(4000), {0, 1}));
    CPPUNIT_ASSERT(!exitsWithin(Sidecar, milliseconds(360), {0, 0}));
    CPPUNIT_ASSERT(exitsWithin(Sidecar, milliseconds(100), {0, 0}));
    ReducerFixture Unreachable;
    Unreachable.joinFleet();
    Unreachable.dispatch(StopRequested{});
    CPPUNIT_ASSERT(exitsWithin(Unreachable, milliseconds(5520), {0, 1}));
  }

  // Guards against a process that exits while large answers wait for the link
  // or are in the transport.
  void sendsAnswersThatWaitForTheLink() {
    // Has the target answer two requests at this time after the stop began, and
    // returns the times at which the results are sent and the process exits.
    auto Run = [](Duration AnsweredAt) {
      SidecarOptions Options = testing::newOptions();
      Options.Service = "plain";
      Options.LinkBytesPerSecond = 1'250'000;
      ReducerFixture Sidecar(Options);
      Sidecar.joinFleet();
      Sidecar.dispatch(TargetReportReceived{1,
                                            {.Instance = "i-1",
                                             .Address = testing::TargetAddress,
                                             .Service = "plain",
                                             .Slots = 2,
                                             .Sequence = 1,
                                             .StartTimeMs = 1}});
      Sidecar.dispatch(StopRequested{});
      Instant StoppedAt = Sidecar.Now;
      Sidecar.advance(milliseconds(2000));
      std::vector<std::uint64_t> Calls;
      for (std::uint64_t Id : {1, 2}) {
        Sidecar.dispatch(PeerMessageReceived{
            "tcp://10.0.0.2:7100",
            routing::Forward{.Id = Id,
                             .Process = 9,
                             .Service = "plain",
                             .AttemptId = "a",
                             .TimeLeft = milliseconds(4000),
                             .LatencyLeft = milliseconds(4000),
                             .Content =
                                 std::make_shared<routing::RequestContent>()}});
        CPPUNIT_ASSERT(Sidecar.find<StartCall>());
        Calls.push_back(Sidecar.find<StartCall>()->CallId);
      }
      std::vector<Duration> Times;
      auto NoteTimes = [&] {
        if (Sidecar.findMessage<routing::ForwardResult>() ||
            Sidecar.find<Exit>())
          Times.push_back(Sidecar.Now - StoppedAt);
      };
      Sidecar.advance(AnsweredAt - milliseconds(2000));
      for (std::uint64_t Call : Calls) {
        Sidecar.dispatch(
            TargetAnswered{Call, {200, {}, std::string(250'000, 'x')}});
        NoteTimes();
      }
      while (Times.size() < 3 && Sidecar.Now < StoppedAt + milliseconds(6000)) {
        Sidecar.advance(milliseconds(20));
        NoteTimes();
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Times.size());
      return Times;
    };
    // Each answer takes 200 ms of the link; 400 ms of quiet follow.
    std::vector<Duration> Early = Run(milliseconds(3000));
    CPPUNIT_ASSERT(Early[0] == milliseconds(3000));
    CPPUNIT_ASSERT(Early[1] >= milliseconds(3180) &&
                   Early[1] <= milliseconds(3220));
    CPPUNIT_ASSERT(Early[2] >= milliseconds(3780) &&
                   Early[2] <= milliseconds(3840));
    // Little time is left: both leave before the process ends.
    std::vector<Duration> Late = Run(milliseconds(5300));
    CPPUNIT_ASSERT(Late[1] <= milliseconds(5360));
    CPPUNIT_ASSERT(Late[2] <= milliseconds(5520));
  }

  // Guards against requests that are taken late in the stop and are still open
  // when the process ends, so that their callers get no answer.
  void answersLastingRequestsBeforeTheGraceEnds() {
    ReducerFixture Sidecar;
    Sidecar.joinFleet();
    Sidecar.addReadRoute();
    Sidecar.dispatch(StopRequested{});
    Sidecar.advance(milliseconds(2900));
    Sidecar.sendRead(1, milliseconds(4000));
    CPPUNIT_ASSERT(Sidecar.findMessage<routing::Forward>());
    bool Answered = false;
    for (int Tick = 0; Tick < 200 && !Sidecar.find<Exit>(); ++Tick) {
      Sidecar.Now = Sidecar.Now + milliseconds(20);
      Sidecar.dispatch(TimerTicked{});
      Answered |= Sidecar.find<ReplyToCaller>() != nullptr;
    }
    CPPUNIT_ASSERT(Answered);
  }

  // Guards against requests on kept-alive connections that are accepted seconds
  // after the stop signal and abandoned when the process ends.
  void rejectsRequestsLateInTheStop() {
    ReducerFixture Sidecar;
    Sidecar.joinFleet();
    Sidecar.dispatch(StopRequested{});
    auto Content = std::make_shared<routing::RequestContent>();
    auto StatusAfter = [&](Duration Time) {
      Sidecar.advance(Time);
      Sidecar.dispatch(CallerRequestReceived{{.Caller = 1,
                                              .AttemptId = "a",
                                              .FirstByteAt = Sidecar.Now,
                                              .Content = Content}});
      const auto *Reply = Sidecar.find<ReplyToCaller>();
      CPPUNIT_ASSERT(Reply);
      // The log must state the reason for every request id that was rejected.
      const auto *Line = Sidecar.find<LogRecord>();
      CPPUNIT_ASSERT(Line && Line->Event == &routing::events::RequestRefused);
      return Reply->Answer.Status;
    };
    // No route matches, so a 404 shows that the request was accepted.
    CPPUNIT_ASSERT_EQUAL(404, StatusAfter(milliseconds(2900)));
    CPPUNIT_ASSERT_EQUAL(503, StatusAfter(milliseconds(100)));
  }

  // Guards against requests that are taken later than the platform allows and
  // cut off at the end of the grace: a process that stood still handles the
  // signal late.
  void countsFromTheEarliestTimeOfTheSignal() {
    ReducerFixture Sidecar;
    Sidecar.joinFleet();
    Sidecar.addReadRoute();
    Sidecar.advance(milliseconds(100));
    Sidecar.Now = Sidecar.Now + milliseconds(500);
    Sidecar.dispatch(TimerTicked{});
    Sidecar.dispatch(StopRequested{});
    Sidecar.advance(milliseconds(2440));
    Sidecar.sendRead(1, milliseconds(4000));
    CPPUNIT_ASSERT(Sidecar.findMessage<routing::Forward>());
    Sidecar.advance(milliseconds(60));
    Sidecar.sendRead(2, milliseconds(4000));
    CPPUNIT_ASSERT(!Sidecar.findMessage<routing::Forward>());
    CPPUNIT_ASSERT_EQUAL(503, Sidecar.find<ReplyToCaller>()->Answer.Status);
  }

private:
  // Returns whether the process exits within Time if each tick is as stated.
  static bool exitsWithin(ReducerFixture &Sidecar, Duration Time,
                          const TimerTicked &Ticked) {
    Instant End = Sidecar.Now + Time;
    bool Exits = false;
    while (Sidecar.Now < End) {
      Sidecar.Now = Sidecar.Now + milliseconds(20);
      Sidecar.dispatch(Ticked);
      Exits |= Sidecar.find<Exit>() != nullptr;
    }
    return Exits;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReducerStopTest);

} // namespace
} // namespace orioledoor::sidecar
