// Tests of TargetGate: slots, admission, draining, incarnations, crashes and
// bodies.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "orioledoor/routing/testing/gate_fixture.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;

using testing::BodyBytes;
using testing::findMessage;
using testing::Peer;
using Fixture = testing::GateFixture;

class TargetGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetGateTest);
  CPPUNIT_TEST(neverExceedsTheSlots);
  CPPUNIT_TEST(startsUrgentRequestsFirst);
  CPPUNIT_TEST(refusesRequestsThatWouldBeLate);
  CPPUNIT_TEST(refusesLateRequestsUnderLoad);
  CPPUNIT_TEST(admitsShortRequestsBesideLongOnes);
  CPPUNIT_TEST(startsCallsBeforeNewRequests);
  CPPUNIT_TEST(queuesLateRequestsBehindTimelyOnes);
  CPPUNIT_TEST(startsNothingAfterTheDrainTime);
  CPPUNIT_TEST(ignoresStaleReports);
  CPPUNIT_TEST(refusesKeysThatAreNotHeld);
  CPPUNIT_TEST(quarantinesRequestsThatCrashTargets);
  CPPUNIT_TEST(doesNotQuarantineAnsweredRequests);
  CPPUNIT_TEST(clearsSuspicionsThatOtherGatesDisprove);
  CPPUNIT_TEST(freesTheSlotOfACancelledCall);
  CPPUNIT_TEST(servesWithoutReportsUntilAConnectionFails);
  CPPUNIT_TEST(refusesAllWhenClosed);
  CPPUNIT_TEST(resumeReportsTheOutcome);
  CPPUNIT_TEST(neverReportsEvictedRequestsAsNotReceived);
  CPPUNIT_TEST(fetchesBodiesWithinTheLinkCapacity);
  CPPUNIT_TEST(refusesBodiesThatWouldBeLate);
  CPPUNIT_TEST(endsLostFetches);
  CPPUNIT_TEST(statesTheShareOfHotKeys);
  CPPUNIT_TEST_SUITE_END();

public:
  void neverExceedsTheSlots() {
    Fixture F;
    F.forward(1);
    CPPUNIT_ASSERT(F.startedCallId());
    std::uint64_t First = F.startedCallId();
    F.forward(2);
    CPPUNIT_ASSERT(F.startedCallId());
    F.forward(3);
    CPPUNIT_ASSERT(!F.startedCallId() && !F.result());
    F.answer(First);
    CPPUNIT_ASSERT(F.endedWith(Outcome::Answered));
    CPPUNIT_ASSERT(F.startedCallId());
  }

  void startsUrgentRequestsFirst() {
    Fixture F;
    F.forward(1);
    std::uint64_t First = F.startedCallId();
    F.forward(2);
    F.forward(3, 2);
    F.forward(4, 0);
    F.answer(First);
    for (const Effect &Output : F.Out)
      if (const auto *Call = std::get_if<StartCall>(&Output))
        CPPUNIT_ASSERT_EQUAL(std::string("a4"), Call->AttemptId);
  }

  // Guards against entry nodes that do not learn that a key gets more requests
  // than the target can serve.
  void statesTheShareOfHotKeys() {
    Fixture F;
    float Lowest = 1;
    for (std::uint64_t Id = 1; Id <= 120; ++Id) {
      F.Now = F.Now + milliseconds(10);
      F.Out.clear();
      F.Gate.handleForward(Peer,
                           {.Id = Id,
                            .Process = 9,
                            .Service = "plain",
                            .AttemptId = "a" + std::to_string(Id),
                            .TimeLeft = milliseconds(2000),
                            .LatencyLeft = milliseconds(150),
                            .Key = 700,
                            .LastChoice = true,
                            .Content = std::make_shared<RequestContent>()},
                           KeyState::Held, F.Now, F.Out);
      if (F.result())
        Lowest = std::min(Lowest, F.result()->KeyShare);
    }
    CPPUNIT_ASSERT(Lowest < 0.5F);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, F.Gate.hotKeys().hotKeys());
  }

  // Under overload, a queue as long as the latency target makes every caller
  // late, so requests that would be late are refused.
  void refusesRequestsThatWouldBeLate() {
    Fixture F;
    std::uint64_t Id = 1;
    for (; Id <= 2; ++Id)
      F.forward(Id);
    while (!F.result() && Id < 50)
      F.forward(Id++);
    CPPUNIT_ASSERT(F.endedWith(Outcome::Busy));
    CPPUNIT_ASSERT(F.result()->RetryAfter >= milliseconds(1000));
    // At 100 ms per request and two slots, 245 ms of waiting are at most five
    // requests.
    CPPUNIT_ASSERT(Id - 4 <= 5);
    // If other targets are available, a busy target refuses at once.
    F.forward(60, 1, false);
    CPPUNIT_ASSERT(F.endedWith(Outcome::Busy));
  }

  // Retrying callers that are already late must not delay requests that can be
  // in time.
  void refusesLateRequestsUnderLoad() {
    Fixture F;
    F.forward(1);
    F.forward(2);
    F.forward(3, 1, true, milliseconds(-200));
    CPPUNIT_ASSERT(F.endedWith(Outcome::Busy));
    F.forward(4, 1, true, milliseconds(400));
    CPPUNIT_ASSERT(!F.result());
  }

  // A request of 30 ms meets its latency target after waiting for one slot,
  // even if requests of other classes take much longer.
  void admitsShortRequestsBesideLongOnes() {
    constexpr RequestClassId Short = 1;
    constexpr RequestClassId Long = 2;
    Fixture F;
    for (std::uint64_t Id = 1; Id <= 20; ++Id) {
      F.forward(Id, 1, true, milliseconds(500), KeyState::NotKeyed,
                Id % 2 == 0 ? Long : Short);
      F.answer(F.startedCallId(), milliseconds(Id % 2 == 0 ? 160 : 30));
    }
    F.forward(21, 1, true, milliseconds(500), KeyState::NotKeyed, Long);
    F.forward(22, 1, true, milliseconds(500), KeyState::NotKeyed, Long);
    F.forward(23, 1, true, milliseconds(120), KeyState::NotKeyed, Short);
    CPPUNIT_ASSERT(!F.result());
    F.forward(24, 1, true, milliseconds(120), KeyState::NotKeyed, Long);
    CPPUNIT_ASSERT(F.endedWith(Outcome::Busy));
  }

  // Calls on behalf of requests that run elsewhere start before new requests. A
  // call that is refused or late fails its parent request, whose slot was held
  // for nothing, and each failure causes a retry.
  void startsCallsBeforeNewRequests() {
    Fixture F;
    F.forward(1);
    std::uint64_t First = F.startedCallId();
    F.forward(2);
    // Fill the queue until new requests are refused.
    std::uint64_t Id = 3;
    for (; !F.result() && Id < 50; ++Id)
      F.forward(Id, 1, true, milliseconds(500));
    CPPUNIT_ASSERT(F.endedWith(Outcome::Busy));
    F.forward(60, 1, true, milliseconds(250));
    CPPUNIT_ASSERT(!F.result());
    F.answer(First, milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::string("a60"), F.startedAttempt());
  }

  void queuesLateRequestsBehindTimelyOnes() {
    Fixture F;
    F.forward(1);
    std::uint64_t First = F.startedCallId();
    F.forward(2);
    F.forward(3, 1, true, milliseconds(400));
    F.forward(4, 1, true, milliseconds(-300));
    F.answer(First, milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::string("a3"), F.startedAttempt());
  }

  void startsNothingAfterTheDrainTime() {
    Fixture F;
    F.forward(1);
    F.forward(2);
    F.forward(3);
    F.report(2, 1, true);
    F.forward(4, 1, false);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    F.advance(milliseconds(1800));
    CPPUNIT_ASSERT(F.result());
    CPPUNIT_ASSERT(F.Gate.state() == TargetState::Absent);
    // A later report of the same incarnation does not make the target ready
    // again.
    F.report(3, 1, false);
    F.forward(5);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    F.report(1, 2, false);
    F.forward(6);
    CPPUNIT_ASSERT(!F.endedWith(Outcome::NoTarget));
  }

  void ignoresStaleReports() {
    Fixture F;
    CPPUNIT_ASSERT(F.report(5) == ReportVerdict::Current);
    CPPUNIT_ASSERT(F.report(4) == ReportVerdict::Stale);
    CPPUNIT_ASSERT(F.report(1, 2) == ReportVerdict::NewIncarnation);
    CPPUNIT_ASSERT(F.report(9, 1) == ReportVerdict::Stale);
  }

  void refusesKeysThatAreNotHeld() {
    Fixture F;
    F.forward(1, 1, true, milliseconds(400), KeyState::NotHeld);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NotOwner));
  }

  // A request that crashes each target that runs it is refused after the second
  // crash, also under another attempt id.
  void quarantinesRequestsThatCrashTargets() {
    Fixture F;
    F.Path = 7;
    for (std::int64_t StartTimeMs = 2; StartTimeMs <= 3; ++StartTimeMs) {
      F.forward(static_cast<std::uint64_t>(StartTimeMs));
      std::uint64_t CallId = F.startedCallId();
      CPPUNIT_ASSERT(CallId);
      F.Gate.handleCallFailure(CallId, CallFailure::Broken, "reset", F.Now,
                               F.Out);
      F.report(1, StartTimeMs);
    }
    F.forward(10);
    CPPUNIT_ASSERT(F.endedWith(Outcome::Quarantined));
    F.Path = 8;
    F.forward(11);
    CPPUNIT_ASSERT(F.startedCallId());
  }

  // Guards against quarantining a popular path: some of its requests are open
  // whenever a target ends, and refusing them stopped a whole service.
  void doesNotQuarantineAnsweredRequests() {
    Fixture F;
    F.Path = 7;
    F.forward(1);
    F.answer(F.startedCallId());
    for (std::int64_t StartTimeMs = 2; StartTimeMs <= 4; ++StartTimeMs) {
      F.forward(static_cast<std::uint64_t>(StartTimeMs));
      std::uint64_t CallId = F.startedCallId();
      CPPUNIT_ASSERT(CallId);
      F.Gate.handleCallFailure(CallId, CallFailure::Broken, "reset", F.Now,
                               F.Out);
      F.report(1, StartTimeMs);
    }
    F.forward(10);
    CPPUNIT_ASSERT(F.startedCallId());
  }

  // A gate that had just started refused a path of many callers for ten
  // minutes, after two crashes beside it, although other gates answered it.
  void clearsSuspicionsThatOtherGatesDisprove() {
    Fixture Suspecting;
    Fixture Answering;
    Suspecting.Path = Answering.Path = 7;
    Answering.forward(1);
    Answering.answer(Answering.startedCallId());
    Effects Notices;
    for (std::int64_t StartTimeMs = 2; StartTimeMs <= 3; ++StartTimeMs) {
      Suspecting.forward(static_cast<std::uint64_t>(StartTimeMs));
      Suspecting.Gate.handleCallFailure(Suspecting.startedCallId(),
                                        CallFailure::Broken, "reset",
                                        Suspecting.Now, Suspecting.Out);
      Suspecting.report(1, StartTimeMs);
      Notices.insert(Notices.end(), Suspecting.Out.begin(),
                     Suspecting.Out.end());
    }
    Suspecting.forward(10);
    CPPUNIT_ASSERT(Suspecting.endedWith(Outcome::Quarantined));
    const auto *Notice = findMessage<CrashNotice>(Notices);
    CPPUNIT_ASSERT(Notice);
    Answering.Out.clear();
    Answering.Gate.handleCrashNotice("tcp://10.0.0.3:7100", *Notice,
                                     Answering.Now, Answering.Out);
    const auto *Cleared = findMessage<CrashCleared>(Answering.Out);
    CPPUNIT_ASSERT(Cleared);
    Suspecting.Out.clear();
    Suspecting.Gate.handleCrashCleared(*Cleared, Suspecting.Out);
    // Gates that only know the notice are told as well.
    CPPUNIT_ASSERT(findMessage<CrashCleared>(Suspecting.Out));
    Suspecting.forward(11);
    CPPUNIT_ASSERT(Suspecting.startedCallId());
    // The answer ends the exchange.
    Effects Out;
    Suspecting.Gate.handleCrashCleared(*Cleared, Out);
    CPPUNIT_ASSERT(Out.empty());
    // A gate that was told passes on nothing about answers of others.
    Suspecting.Gate.handleCrashNotice("tcp://10.0.0.3:7100", *Notice,
                                      Suspecting.Now, Out);
    CPPUNIT_ASSERT(Out.empty());
  }

  void freesTheSlotOfACancelledCall() {
    Fixture F;
    F.forward(1);
    F.forward(2);
    F.forward(3);
    F.Out.clear();
    F.Gate.handleCancel(Peer, {.Id = 1, .Process = 9}, F.Now, F.Out);
    CPPUNIT_ASSERT(std::holds_alternative<CancelCall>(F.Out.front()));
    CPPUNIT_ASSERT(F.startedCallId());
  }

  void servesWithoutReportsUntilAConnectionFails() {
    Fixture F;
    F.advance(std::chrono::seconds(10));
    CPPUNIT_ASSERT(F.Gate.state() == TargetState::Ready);
    F.forward(1);
    std::uint64_t CallId = F.startedCallId();
    F.Gate.handleCallFailure(CallId, CallFailure::NotSent, "refused", F.Now,
                             F.Out);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    F.advance(milliseconds(20));
    CPPUNIT_ASSERT(F.Gate.state() == TargetState::Absent);
    F.report(2);
    CPPUNIT_ASSERT(F.Gate.state() == TargetState::Ready);
  }

  void refusesAllWhenClosed() {
    Fixture F;
    F.forward(1);
    F.forward(2);
    F.forward(3);
    F.Out.clear();
    F.Gate.close(F.Now, F.Out);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    F.forward(4);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, F.Gate.openRequests());
  }

  // After a connection between nodes broke, an available answer must not be
  // reported as a failure, nor a request that never arrived as possibly run.
  void resumeReportsTheOutcome() {
    Fixture F;
    F.forward(1);
    std::uint64_t CallId = F.startedCallId();
    F.Out.clear();
    F.Gate.handleResume(Peer, {.Id = 1, .Process = 9}, F.Now, F.Out);
    CPPUNIT_ASSERT(!F.result());
    F.answer(CallId);
    F.Out.clear();
    F.Gate.handleResume(Peer, {.Id = 1, .Process = 9}, F.Now, F.Out);
    CPPUNIT_ASSERT(F.endedWith(Outcome::Answered));
    F.Out.clear();
    // An earlier process of this node may have run it.
    F.Gate.handleResume(Peer, {.Id = 2, .Process = 9, .ReceiverProcess = 7},
                        F.Now, F.Out);
    CPPUNIT_ASSERT(F.endedWith(Outcome::Lost));
    F.Out.clear();
    F.Gate.handleResume(Peer, {.Id = 2, .Process = 9, .ReceiverProcess = 1},
                        F.Now, F.Out);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    // It must not run if it arrives later.
    F.forward(2);
    CPPUNIT_ASSERT(!F.startedCallId() && !F.result());
  }

  // Guards against running a request twice: if a result was evicted and the
  // request is then reported as never received, the sender retries it at
  // another target.
  void neverReportsEvictedRequestsAsNotReceived() {
    Fixture F;
    constexpr std::uint64_t Requests = 10'000;
    for (std::uint64_t Id = 1; Id <= Requests; ++Id) {
      F.forward(Id);
      F.answer(F.startedCallId(), milliseconds(1));
    }
    auto ResumeOutcome = [&](std::uint64_t Id, Duration SentAgo) {
      F.Out.clear();
      F.Gate.handleResume(
          Peer,
          {.Id = Id, .Process = 9, .ReceiverProcess = 1, .SentAgo = SentAgo},
          F.Now, F.Out);
      return F.result()->Code;
    };
    CPPUNIT_ASSERT(ResumeOutcome(Requests, milliseconds(1)) ==
                   Outcome::Answered);
    CPPUNIT_ASSERT(ResumeOutcome(Requests / 2, milliseconds(5000)) ==
                   Outcome::Lost);
    CPPUNIT_ASSERT(ResumeOutcome(1, milliseconds(5000)) == Outcome::Lost);
    F.advance(milliseconds(5000));
    CPPUNIT_ASSERT(ResumeOutcome(Requests, milliseconds(5000)) ==
                   Outcome::Lost);
    F.advance(milliseconds(20'000));
    // Sent longer ago than the retention time of results.
    CPPUNIT_ASSERT(ResumeOutcome(Requests, milliseconds(25'000)) ==
                   Outcome::Lost);
    CPPUNIT_ASSERT(ResumeOutcome(Requests + 1, milliseconds(700)) ==
                   Outcome::NoTarget);
  }

  // Guards against concurrent uploads to a small VM that fill its link for
  // seconds and delay answers and calls.
  void fetchesBodiesWithinTheLinkCapacity() {
    Fixture F(1'250'000);
    F.forwardWithheld(1);
    CPPUNIT_ASSERT(F.fetchedId() == 1 && !F.startedCallId());
    F.forwardWithheld(2);
    CPPUNIT_ASSERT(F.fetchedId() == 0);
    F.receiveBody(1);
    CPPUNIT_ASSERT(F.startedCallId());
    CPPUNIT_ASSERT(F.fetchedId() == 2);
    // A cancelled request frees capacity of the link.
    F.forwardWithheld(3);
    F.Out.clear();
    F.Gate.handleCancel(Peer, {.Id = 2, .Process = 9}, F.Now, F.Out);
    CPPUNIT_ASSERT(F.fetchedId() == 3);
    CPPUNIT_ASSERT(F.Gate.status(F.Now).LinkQueuedBytes == BodyBytes);
    F.receiveBody(3);
    CPPUNIT_ASSERT(F.Gate.status(F.Now).LinkQueuedBytes == 0);
  }

  // When the uploads exceed the link capacity, a request whose body cannot
  // arrive in time is refused before the body is sent.
  void refusesBodiesThatWouldBeLate() {
    Fixture F(1'250'000);
    std::uint64_t Id = 1;
    while (Id < 50) {
      F.forwardWithheld(Id++);
      if (F.result())
        break;
    }
    CPPUNIT_ASSERT(F.endedWith(Outcome::Busy));
    // 400 ms less the service time, the return time and 140 ms leave time for
    // four bodies of 48 ms each.
    CPPUNIT_ASSERT(Id >= 3 && Id <= 6);
  }

  void endsLostFetches() {
    Fixture F(1'250'000);
    F.forwardWithheld(1);
    F.Out.clear();
    F.Gate.handleResume(Peer, {.Id = 1, .Process = 9, .ReceiverProcess = 1},
                        F.Now, F.Out);
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    F.receiveBody(1);
    CPPUNIT_ASSERT(!F.startedCallId());
    F.forwardWithheld(2);
    CPPUNIT_ASSERT(F.fetchedId() == 2);
    F.advance(milliseconds(4000));
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    CPPUNIT_ASSERT(F.Gate.openRequests() == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetGateTest);

} // namespace
} // namespace orioledoor::routing
