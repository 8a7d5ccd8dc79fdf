// Tests of the link accounting of AnswerLink and TargetGate: pacing of large
// answers, admission, and the results of requests whose answers wait.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "orioledoor/routing/answer_link.h"
#include "orioledoor/routing/testing/answer_load.h"
#include "orioledoor/routing/testing/gate_fixture.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using testing::AnswerLoad;
using testing::Peer;

constexpr double SlowLink = 1'250'000;
constexpr double FastLink = 125'000'000;
constexpr std::size_t Large = 90'000;

// A gate of two slots with helpers for large answers.
class Fixture : public testing::GateFixture {
public:
  using testing::GateFixture::GateFixture;

  // Has the target answer a new request with this many bytes.
  void serve(std::uint64_t Id, std::size_t Bytes, std::uint8_t Priority = 1) {
    this->forward(Id, Priority, true, milliseconds(1500));
    this->answerWith(this->startedCallId(), Bytes);
  }
  void answerWith(std::uint64_t CallId, std::size_t Bytes) {
    this->Out.clear();
    this->Gate.handleAnswer(CallId, {200, {}, std::string(Bytes, 'x')}, false,
                            this->Now, this->Out);
  }
  void resume(std::uint64_t Id) {
    this->Out.clear();
    this->Gate.handleResume(Peer,
                            {.Id = Id, .Process = 9, .ReceiverProcess = 1},
                            this->Now, this->Out);
  }
};

class AnswerLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerLinkTest);
  CPPUNIT_TEST(sendsLargeAnswersAtTheRateOfTheLink);
  CPPUNIT_TEST(sendsUrgentAnswersFirst);
  CPPUNIT_TEST(doesNotLimitFastAndUnknownLinks);
  CPPUNIT_TEST(keepsMessagesMovingUnderTheLoadOfDownloads);
  CPPUNIT_TEST(keepsMessagesMovingBesideLargestAnswers);
  CPPUNIT_TEST(endsEachRequestWhoseAnswerWaitsOnce);
  CPPUNIT_TEST(dropsAnswersWhoseCallersLeft);
  CPPUNIT_TEST(refusesAnswersThatTheLinkWouldDelay);
  CPPUNIT_TEST(sendsWaitingAnswersBeforeTheStop);
  CPPUNIT_TEST(boundsTheMemoryOfAnswers);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against answers that fill the transport's buffers, so that pings of
  // other nodes time out, and against a rate below the link's share.
  void sendsLargeAnswersAtTheRateOfTheLink() {
    AnswerLink Link(SlowLink);
    Instant Now{std::int64_t{1'000'000}};
    for (std::uint64_t Id = 1; Id <= 20; ++Id)
      CPPUNIT_ASSERT(Link.push(Id, {1, Now}, Large, Now));
    CPPUNIT_ASSERT(Link.popNext(Now) == 1);
    CPPUNIT_ASSERT(!Link.popNext(Now));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20 * Large}, Link.committedBytes(Now));
    std::size_t Sent = 1;
    Instant End = Now + milliseconds(1000);
    while (Now < End) {
      Now = Now + milliseconds(20);
      while (Link.popNext(Now))
        ++Sent;
    }
    // 1.0625 MB in a second and one answer at its beginning.
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, Sent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, Link.waiting());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8 * Large}, Link.waitingBytes());
  }

  // Guards against answers of a bulk kind that delay those of an urgent kind.
  void sendsUrgentAnswersFirst() {
    AnswerLink Link(SlowLink);
    Instant Now{std::int64_t{1'000'000}};
    Link.push(1, {1, Now + milliseconds(300)}, Large, Now);
    Link.push(2, {1, Now + milliseconds(100)}, Large, Now);
    Link.push(3, {0, Now + milliseconds(900)}, Large, Now);
    Link.reserve(4, 2, Large);
    // A small answer passes all of them.
    CPPUNIT_ASSERT(!Link.push(5, {2, Now}, 400, Now));
    // Answers of a lower priority are behind a new one.
    CPPUNIT_ASSERT(Link.expectedWait(Large, 0, Duration(0), Now) <
                   milliseconds(90));
    CPPUNIT_ASSERT(Link.expectedWait(Large, 1, Duration(0), Now) >
                   milliseconds(250));
    CPPUNIT_ASSERT(Link.expectedWait(Large, 2, Duration(0), Now) >
                   milliseconds(330));
    CPPUNIT_ASSERT_EQUAL(Duration(0),
                         Link.expectedWait(400, 2, milliseconds(100), Now));
    CPPUNIT_ASSERT(Link.popNext(Now) == 3);
    CPPUNIT_ASSERT(Link.popNext(Now + milliseconds(100)) == 2);
    CPPUNIT_ASSERT(Link.popNext(Now + milliseconds(200)) == 1);
    Link.release(4);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         Link.committedBytes(Now + milliseconds(400)));
  }

  // Guards against a change for deployments whose links are not the limit.
  void doesNotLimitFastAndUnknownLinks() {
    for (double Rate : {0.0, FastLink}) {
      Fixture F(Rate);
      for (std::uint64_t Id = 1; Id <= 50; ++Id) {
        F.serve(Id, Large);
        CPPUNIT_ASSERT(F.endedWith(Outcome::Answered));
      }
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, F.Gate.refusedForLink());
    }
  }

  // Guards against the loss measured on nodes with links of 10 Mbit/s: messages
  // arrived up to 3.4 s late behind answers of 90 KB, and calls of the urgent
  // kind failed with them.
  void keepsMessagesMovingUnderTheLoadOfDownloads() {
    for (double Scale : {1.0, 1.7}) {
      AnswerLoad Load({.Scale = Scale});
      Load.run(std::chrono::seconds(20));
      // One large answer takes 72 ms, a small one 4 ms.
      CPPUNIT_ASSERT(Load.LongestBacklog <= milliseconds(100));
      const AnswerLoad::Counts &Archives = Load.Results[0];
      const AnswerLoad::Counts &Tariffs = Load.Results[1];
      CPPUNIT_ASSERT(Tariffs.InTime * 100 >= Tariffs.Sent * 98);
      // Nearly every archive that runs meets its latency target, and the share
      // of the link that small answers leave is used.
      CPPUNIT_ASSERT(Archives.InTime * 100 >= Archives.Answered * 95);
      double Left = SlowLink * 0.85 - 353.0 / 11 * Scale * 5'000;
      CPPUNIT_ASSERT(static_cast<double>(Archives.InTime) >=
                     0.9 * 20 * std::min(Left / Large, 144.0 / 11 * Scale));
    }
  }

  // As above with single answers of up to 540 KB, which take 432 ms: the others
  // must not gather behind one of them, and their spread must not make answers
  // late that were admitted by the mean.
  void keepsMessagesMovingBesideLargestAnswers() {
    AnswerLoad Load({.Scale = 1.7, .SizesVary = true});
    Load.run(std::chrono::seconds(20));
    CPPUNIT_ASSERT(Load.LongestBacklog <= milliseconds(500));
    const AnswerLoad::Counts &Archives = Load.Results[0];
    const AnswerLoad::Counts &Tariffs = Load.Results[1];
    CPPUNIT_ASSERT(Tariffs.InTime * 100 >= Tariffs.Sent * 95);
    CPPUNIT_ASSERT(Archives.InTime * 100 >= Archives.Answered * 90);
  }

  // Guards against a request that is reported as lost or never received, or
  // answered twice, while its answer waits for the link.
  void endsEachRequestWhoseAnswerWaitsOnce() {
    Fixture F(SlowLink);
    F.serve(1, Large);
    CPPUNIT_ASSERT(F.endedWith(Outcome::Answered));
    F.serve(2, Large);
    CPPUNIT_ASSERT(!F.result());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, F.Gate.openRequests());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, F.Gate.queue().running());
    F.resume(2);
    CPPUNIT_ASSERT(F.Out.empty());
    F.answerWith(2, Large);
    CPPUNIT_ASSERT(F.Out.empty());
    F.advance(milliseconds(100));
    CPPUNIT_ASSERT(F.endedWith(Outcome::Answered) && F.result()->Id == 2);
    CPPUNIT_ASSERT_EQUAL(Large, F.result()->Answer.Body.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, F.Gate.openRequests());
    // The connection may break after the answer has left.
    F.resume(2);
    CPPUNIT_ASSERT(F.endedWith(Outcome::Answered));
  }

  // Guards against a link that transfers answers which nobody waits for, and
  // against commitments that are never released.
  void dropsAnswersWhoseCallersLeft() {
    Fixture F(SlowLink);
    F.serve(1, Large);
    F.serve(2, Large);
    F.serve(3, Large);
    F.cancel(2);
    CPPUNIT_ASSERT(!F.result());
    CPPUNIT_ASSERT(F.Gate.answerLink().waiting() == 1);
    F.advance(milliseconds(100));
    CPPUNIT_ASSERT(F.endedWith(Outcome::Answered) && F.result()->Id == 3);
    // A request whose time ends while its answer waits gets a small result,
    // and not before.
    F.forward(4, 1, true, milliseconds(1500));
    std::uint64_t First = F.startedCallId();
    F.forward(5, 1, true, milliseconds(1500));
    std::uint64_t Second = F.startedCallId();
    F.answerWith(First, 4'000'000);
    F.advance(milliseconds(100));
    CPPUNIT_ASSERT(F.endedWith(Outcome::Answered));
    F.answerWith(Second, Large);
    F.advance(milliseconds(1890));
    CPPUNIT_ASSERT(!F.result());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, F.Gate.droppedAnswers());
    F.advance(milliseconds(20));
    CPPUNIT_ASSERT(F.endedWith(Outcome::Lost) && F.result()->Id == 5);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, F.Gate.droppedAnswers());
    F.advance(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, F.Gate.openRequests());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         F.Gate.status(F.Now).AnswerQueuedBytes);
  }

  // Guards against work at the target whose answer would arrive too late.
  void refusesAnswersThatTheLinkWouldDelay() {
    Fixture F(SlowLink);
    std::uint64_t Id = 1;
    while (Id < 50) {
      F.forward(Id++, 1, true, milliseconds(1000));
      if (F.result())
        break;
      F.answerWith(F.startedCallId(), Large);
    }
    CPPUNIT_ASSERT(F.endedWith(Outcome::Busy));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, F.Gate.refusedForLink());
    // About 800 ms of 1.0625 MB/s, less the margin for the spread of sizes.
    CPPUNIT_ASSERT(Id >= 7 && Id <= 10);
    CPPUNIT_ASSERT(F.Gate.status(F.Now).AnswerQueuedBytes >= 6 * Large);
    // A more urgent one passes those that wait.
    F.forward(60, 0, true, milliseconds(1000));
    CPPUNIT_ASSERT(F.startedCallId());
  }

  // Guards against a stop that cuts off answers which wait for the link.
  void sendsWaitingAnswersBeforeTheStop() {
    Fixture F(SlowLink);
    for (std::uint64_t Id = 1; Id <= 5; ++Id)
      F.serve(Id, Large);
    F.Out.clear();
    F.Gate.close(F.Now, F.Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, F.Gate.openRequests());
    // The whole link is used: 72 ms for each answer.
    F.advance(milliseconds(75));
    F.advance(milliseconds(75));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, F.Gate.openRequests());
    F.Gate.flushAnswers(F.Now, F.Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, F.Gate.openRequests());
  }

  // Guards against a process that the platform ends, since callers with much
  // time let it collect answers faster than its link transfers them, and since
  // it keeps each answer for some seconds more.
  void boundsTheMemoryOfAnswers() {
    Fixture F(SlowLink, 500'000);
    for (std::uint64_t Id = 1; Id <= 20; ++Id) {
      F.forward(Id, 1, true, milliseconds(60'000));
      if (F.result())
        continue;
      F.answerWith(F.startedCallId(), Large);
      CPPUNIT_ASSERT(F.Gate.answerLink().waitingBytes() <= 500'000);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{14}, F.Gate.refusedForMemory());
    // Requests with small answers are served.
    F.forward(30, 1, true, milliseconds(400), KeyState::NotKeyed, 1);
    CPPUNIT_ASSERT(F.startedCallId());

    RecentResults Kept(500'000);
    for (std::uint64_t Id = 1; Id <= 20; ++Id) {
      Kept.add({9, Id}, {.Answer = {200, {}, std::string(Large, 'x')}}, F.Now);
      CPPUNIT_ASSERT(Kept.answerBytes() <= 500'000);
    }
    CPPUNIT_ASSERT(Kept.find({9, 20})->Code == Outcome::Answered);
    CPPUNIT_ASSERT(Kept.find({9, 15})->Code == Outcome::Lost);
    Kept.tick(F.Now + std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Kept.answerBytes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerLinkTest);

} // namespace
} // namespace orioledoor::routing
