// Tests that no request reaches the target long after its caller has left,
// although the message that brought it was late or the node stood still.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/routing/testing/gate_fixture.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using testing::findMessage;
using Fixture = testing::GateFixture;

constexpr Duration LongDelay = milliseconds(700);

class TargetConfirmationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetConfirmationTest);
  CPPUNIT_TEST(lateRequestWaitsForItsEntryNode);
  CPPUNIT_TEST(lateRequestOfACallerThatLeftNeverStarts);
  CPPUNIT_TEST(lateBodyWaitsForItsEntryNode);
  CPPUNIT_TEST(unansweredQuestionEndsTheRequest);
  CPPUNIT_TEST(queuedRequestsAreConfirmedAfterAStandstill);
  CPPUNIT_TEST(localRequestsStartOnceTheLoopHasRun);
  CPPUNIT_TEST(cancellationThatOvertakesItsRequestHolds);
  CPPUNIT_TEST(targetGetsTheTimeThatIsReallyLeft);
  CPPUNIT_TEST(wrongDelayCostsOnlyAQuestion);
  CPPUNIT_TEST(lateRequestIsConfirmedBeforeItsBodyIsFetched);
  CPPUNIT_TEST_SUITE_END();

public:
  void lateRequestWaitsForItsEntryNode() {
    Fixture F;
    F.forwardLate(1, milliseconds(100));
    CPPUNIT_ASSERT(F.startedCallId());
    F.forwardLate(2, LongDelay);
    CPPUNIT_ASSERT(!F.startedCallId());
    const auto *Asked = findMessage<ConfirmForward>(F.Out);
    CPPUNIT_ASSERT(Asked);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Asked->Id);
    F.Now = F.Now + milliseconds(20);
    F.confirm(2);
    CPPUNIT_ASSERT(F.startedCallId());
  }

  // Guards against a target that gets a request and its cancellation in the
  // same millisecond, a second after the caller has left.
  void lateRequestOfACallerThatLeftNeverStarts() {
    Fixture F;
    F.forwardLate(1, LongDelay);
    F.cancel(1);
    CPPUNIT_ASSERT(!F.startedCallId());
    F.confirm(1);
    CPPUNIT_ASSERT(!F.startedCallId());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, F.Gate.openRequests());
  }

  void lateBodyWaitsForItsEntryNode() {
    Fixture F(1'250'000);
    F.forwardWithheld(1);
    F.Now = F.Now + LongDelay;
    F.receiveBody(1, LongDelay);
    CPPUNIT_ASSERT(!F.startedCallId());
    CPPUNIT_ASSERT(findMessage<ConfirmForward>(F.Out));
    F.confirm(1);
    CPPUNIT_ASSERT(F.startedCallId());
  }

  // Guards against a confirmation that is as late as the request was.
  void unansweredQuestionEndsTheRequest() {
    Fixture F;
    F.forwardLate(1, LongDelay);
    F.advance(milliseconds(420));
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
    F.forwardLate(2, LongDelay);
    F.Now = F.Now + milliseconds(420);
    F.confirm(2);
    CPPUNIT_ASSERT(!F.startedCallId());
    CPPUNIT_ASSERT(F.endedWith(Outcome::NoTarget));
  }

  // Guards against queued requests that start before the cancellations are
  // read that arrived while the node stood still.
  void queuedRequestsAreConfirmedAfterAStandstill() {
    Fixture F;
    F.forward(1);
    std::uint64_t Running = F.startedCallId();
    F.forward(2);
    for (std::uint64_t Id : {3, 4})
      F.forwardLate(Id, Duration(0));
    F.Now = F.Now + LongDelay;
    F.Out.clear();
    F.Gate.handleStandstill(F.Now, F.Out);
    CPPUNIT_ASSERT(findMessage<ConfirmForward>(F.Out));
    F.answer(Running, Duration(0));
    CPPUNIT_ASSERT(!F.startedCallId());
    F.cancel(3);
    CPPUNIT_ASSERT(!F.startedCallId());
    F.confirm(4);
    CPPUNIT_ASSERT_EQUAL(std::string("a4"), F.startedAttempt());
  }

  void localRequestsStartOnceTheLoopHasRun() {
    Fixture F;
    F.forward(1);
    std::uint64_t Running = F.startedCallId();
    F.forward(2);
    auto Content = std::make_shared<RequestContent>();
    F.Gate.handleForward("tcp://10.0.0.1:7100",
                         {.Id = 3,
                          .Process = 1,
                          .Service = "plain",
                          .AttemptId = "local",
                          .TimeLeft = milliseconds(2000),
                          .LatencyLeft = milliseconds(1500),
                          .LastChoice = true,
                          .Content = Content},
                         KeyState::NotKeyed, F.Now, F.Out);
    F.Now = F.Now + LongDelay;
    F.Out.clear();
    F.Gate.handleStandstill(F.Now, F.Out);
    CPPUNIT_ASSERT(!findMessage<ConfirmForward>(F.Out));
    F.answer(Running, Duration(0));
    F.advance(milliseconds(1));
    CPPUNIT_ASSERT(!F.startedCallId());
    F.advance(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::string("local"), F.startedAttempt());
  }

  // Guards against a request that runs on for nobody, since its cancellation
  // came over a new connection while the old one was still being read.
  void cancellationThatOvertakesItsRequestHolds() {
    Fixture F;
    F.cancel(1);
    F.forward(1);
    CPPUNIT_ASSERT(!F.startedCallId());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, F.Gate.openRequests());
    F.forward(2);
    CPPUNIT_ASSERT(F.startedCallId());
  }

  // Guards against a target that works past the deadline of the caller, since
  // the time left was counted from the arrival of a late request.
  void targetGetsTheTimeThatIsReallyLeft() {
    Fixture F;
    F.forwardLate(3, milliseconds(150));
    CPPUNIT_ASSERT(F.startedTimeLeft() < milliseconds(1850));
    F.forwardLate(1, LongDelay);
    F.confirm(1, milliseconds(900));
    CPPUNIT_ASSERT(F.startedTimeLeft() < milliseconds(900));
    F.forwardLate(2, LongDelay);
    F.confirm(2, milliseconds(5));
    CPPUNIT_ASSERT(F.endedWith(Outcome::Expired));
  }

  // Guards against a VM whose requests are all refused, since its clock lost
  // time and its messages seem to be half a minute late.
  void wrongDelayCostsOnlyAQuestion() {
    Fixture F;
    F.forwardLate(1, std::chrono::seconds(30));
    F.confirm(1, milliseconds(1900));
    CPPUNIT_ASSERT(F.startedCallId());
  }

  void lateRequestIsConfirmedBeforeItsBodyIsFetched() {
    Fixture F(1'250'000);
    F.forwardWithheld(1, LongDelay);
    CPPUNIT_ASSERT(findMessage<ConfirmForward>(F.Out));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, F.fetchedId());
    F.confirm(1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, F.fetchedId());
    F.receiveBody(1);
    CPPUNIT_ASSERT(F.startedCallId());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetConfirmationTest);

} // namespace
} // namespace orioledoor::routing
