// Tests of EntryReducer when connections break, nodes vanish or restart, and
// when bodies are withheld.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "orioledoor/routing/testing/entry_fixture.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using testing::BodyBytes;
using testing::FarNode;
using testing::NearNode;
using Fixture = testing::EntryFixture;

class EntryRecoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryRecoveryTest);
  CPPUNIT_TEST(resumesAfterConnectionLoss);
  CPPUNIT_TEST(asksForLostResultsOverANewConnection);
  CPPUNIT_TEST(neverGivesUpARunThatMayGoOn);
  CPPUNIT_TEST(takesTheAnswerOfEitherTry);
  CPPUNIT_TEST(asksAgainUntilTheNodeIsReached);
  CPPUNIT_TEST(removedNodeThatLivesAnswers);
  CPPUNIT_TEST(removedNodeThatIsGoneEndsItsRequests);
  CPPUNIT_TEST(resumesAtTheNewProcessOfANode);
  CPPUNIT_TEST(neverAnswers503AfterALostAttempt);
  CPPUNIT_TEST(repeatsCancellationsThatMayBeLost);
  CPPUNIT_TEST(ignoresResultsOfAnEarlierProcess);
  CPPUNIT_TEST(withholdsBodiesFromSlowLinks);
  CPPUNIT_TEST(retriesElsewhereBeforeTheBodyIsSent);
  CPPUNIT_TEST_SUITE_END();

public:
  // After a connection broke, the node is asked for the state of the request.
  // If it cannot be asked, an idempotent request is retried elsewhere; any
  // other request keeps waiting as long as the node's process lives.
  void resumesAfterConnectionLoss() {
    Fixture F;
    F.sendRequest(1, "/read/x");
    std::uint64_t Id = F.sent()->Id;
    F.Out.clear();
    F.Entry.handleConnectionLost(NearNode, F.Now, F.Out);
    const auto *Query = std::get_if<SendMessage>(&F.Out.at(0));
    CPPUNIT_ASSERT(Query && std::holds_alternative<ResumeForward>(Query->Body));
    F.Out.clear();
    F.Entry.handleSendFailure(NearNode, Id, F.Now, F.Out);
    std::string To;
    CPPUNIT_ASSERT(F.sent(&To));
    CPPUNIT_ASSERT_EQUAL(std::string(FarNode), To);
    F.receiveResult(FarNode, Outcome::Answered, 200);
    CPPUNIT_ASSERT_EQUAL(200, F.status());
    F.sendRequest(2, "/write/x");
    Id = F.sent(&To)->Id;
    F.Out.clear();
    F.Entry.handleConnectionLost(To, F.Now, F.Out);
    F.Entry.handleConnectionLost(To, F.Now, F.Out);
    CPPUNIT_ASSERT_EQUAL(0, F.status());
    // Once the node is no longer a member and can't be asked, it fails.
    F.Entry.handleNodeRemoved(To, F.Now, F.Out);
    CPPUNIT_ASSERT_EQUAL(0, F.status());
    F.Entry.handleSendFailure(To, Id, F.Now, F.Out);
    CPPUNIT_ASSERT_EQUAL(502, F.status());
  }

  // Guards against a result that is lost with the connection from the target's
  // node, while the connection to that node is whole: nobody would ask for it,
  // and the caller would wait until its time is over.
  void asksForLostResultsOverANewConnection() {
    for (const char *Path : {"/read/x", "/write/x", "/keyed/x"}) {
      Fixture F;
      F.sendRequest(1, Path, 5);
      std::uint64_t Id = F.sent()->Id;
      F.Out.clear();
      F.Entry.handleNewConnection(FarNode, F.Now, F.Out);
      CPPUNIT_ASSERT(F.Out.empty());
      F.Entry.handleNewConnection(NearNode, F.Now, F.Out);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, F.Out.size());
      const auto *Query = std::get_if<SendMessage>(&F.Out.at(0));
      CPPUNIT_ASSERT(Query && Query->To == NearNode);
      CPPUNIT_ASSERT_EQUAL(Id, std::get<ResumeForward>(Query->Body).Id);
    }
  }

  // Guards against a run that is cut off, and a caller that gets 502, although
  // the target is at work: its node is alive and could not be reached for a
  // moment. There is no other target for the key, or no retry is left.
  void neverGivesUpARunThatMayGoOn() {
    for (const char *Path : {"/keyed/x", "/read/x"}) {
      Fixture F;
      for (std::uint64_t Caller = 10; Caller < 13; ++Caller) {
        F.sendRequest(Caller, "/read/x");
        F.receiveResult(NearNode, Outcome::Lost);
      }
      F.sendRequest(1, Path, 5);
      std::uint64_t Id = F.sent()->Id;
      F.Out.clear();
      F.Entry.handleConnectionLost(NearNode, F.Now, F.Out);
      F.Entry.handleConnectionLost(NearNode, F.Now, F.Out);
      F.Entry.handleSendFailure(NearNode, Id, F.Now, F.Out);
      CPPUNIT_ASSERT(!F.reply() && !F.sent());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, F.cancelled());
      F.Out.clear();
      F.Entry.handleResult(NearNode, {.Id = Id, .Answer = {200, {}, "whole"}},
                           F.Now, F.Out);
      CPPUNIT_ASSERT_EQUAL(200, F.status());
    }
  }

  // Guards against a first try that is cut off when a second one starts, so
  // that the request fails if the second target has no room; and against a
  // first target that works on although the second one has answered.
  void takesTheAnswerOfEitherTry() {
    for (bool FirstAnswers : {true, false}) {
      Fixture F;
      F.sendRequest(1, "/read/x");
      std::uint64_t First = F.sent()->Id;
      F.Out.clear();
      F.Entry.handleConnectionLost(NearNode, F.Now, F.Out);
      F.Entry.handleConnectionLost(NearNode, F.Now, F.Out);
      std::string To;
      CPPUNIT_ASSERT(F.sent(&To));
      CPPUNIT_ASSERT_EQUAL(std::string(FarNode), To);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, F.cancelled());
      F.receiveResult(FarNode, FirstAnswers ? Outcome::Busy : Outcome::Answered,
                      200);
      if (FirstAnswers) {
        CPPUNIT_ASSERT(!F.reply());
        F.Entry.handleResult(NearNode,
                             {.Id = First, .Answer = {200, {}, "whole"}}, F.Now,
                             F.Out);
      } else {
        CPPUNIT_ASSERT_EQUAL(First, F.cancelled());
      }
      CPPUNIT_ASSERT_EQUAL(200, F.status());
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, F.Entry.openRequests());
    }
    // Neither try has an answer.
    Fixture F;
    F.sendRequest(1, "/read/x");
    std::uint64_t First = F.sent()->Id;
    F.Entry.handleConnectionLost(NearNode, F.Now, F.Out);
    F.Out.clear();
    F.Entry.handleSendFailure(NearNode, First, F.Now, F.Out);
    F.receiveResult(FarNode, Outcome::Lost);
    CPPUNIT_ASSERT(!F.reply());
    F.Entry.handleResult(NearNode, {.Id = First, .Code = Outcome::Lost}, F.Now,
                         F.Out);
    CPPUNIT_ASSERT_EQUAL(502, F.status());
  }

  // Guards against a result that nobody asks for, since the node could not be
  // reached when the connection was lost.
  void asksAgainUntilTheNodeIsReached() {
    for (const char *Path : {"/write/x", "/keyed/x"}) {
      Fixture F;
      F.sendRequest(1, Path, 5);
      std::uint64_t Id = F.sent()->Id;
      F.Entry.handleConnectionLost(NearNode, F.Now, F.Out);
      for (int Failure = 0; Failure < 3; ++Failure) {
        F.Entry.handleSendFailure(NearNode, Id, F.Now, F.Out);
        F.advance(milliseconds(180));
        CPPUNIT_ASSERT(F.Out.empty());
        F.advance(milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, F.Out.size());
        CPPUNIT_ASSERT(std::holds_alternative<ResumeForward>(
            std::get<SendMessage>(F.Out.at(0)).Body));
      }
    }
  }

  // Guards against a request that runs twice, and against an answer that goes
  // to the wrong caller: a VM that takes over the address of another one gets
  // the results of its requests, whose ids it uses again.
  void ignoresResultsOfAnEarlierProcess() {
    Fixture F;
    F.sendRequest(1, "/write/x");
    std::uint64_t Id = F.sent()->Id;
    std::uint64_t Process = F.sent()->Process;
    for (Outcome Code : {Outcome::NoTarget, Outcome::Answered}) {
      ForwardResult Stale{.Id = Id, .Process = Process + 1, .Code = Code};
      Stale.Answer.Status = 200;
      F.Out.clear();
      F.Entry.handleResult(NearNode, Stale, F.Now, F.Out);
      CPPUNIT_ASSERT(F.Out.empty());
      Stale.Process = Process;
      F.Entry.handleResult(FarNode, Stale, F.Now, F.Out);
      CPPUNIT_ASSERT(F.Out.empty());
    }
    ForwardResult Own{.Id = Id, .Process = Process};
    Own.Answer.Status = 200;
    F.Entry.handleResult(NearNode, Own, F.Now, F.Out);
    CPPUNIT_ASSERT_EQUAL(200, F.status());
  }

  // Guards against targets that work on for callers that have left, since the
  // cancellation was lost with its connection or never sent.
  void repeatsCancellationsThatMayBeLost() {
    Fixture F;
    F.sendRequest(1, "/read/x");
    std::uint64_t Id = F.sent()->Id;
    F.Out.clear();
    F.Entry.handleCallerDisconnect(1, F.Now, F.Out);
    CPPUNIT_ASSERT_EQUAL(Id, F.cancelled());
    F.Out.clear();
    F.Entry.handleConnectionLost(FarNode, F.Now, F.Out);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, F.cancelled());
    F.Entry.handleConnectionLost(NearNode, F.Now, F.Out);
    CPPUNIT_ASSERT_EQUAL(Id, F.cancelled());
    // The same connection may have carried a ResumeForward of this request.
    F.Entry.handleSendFailure(NearNode, Id, F.Now, F.Out);
    F.Entry.handleCancelNotSent(NearNode, Id, F.Now);
    F.advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, F.cancelled());
    F.advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(Id, F.cancelled());
    F.advance(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, F.cancelled());
    // After the deadline, the target has stopped.
    F.Entry.handleCancelNotSent(NearNode, Id, F.Now);
    F.advance(std::chrono::seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, F.cancelled());
    F.Entry.handleConnectionLost(NearNode, F.Now, F.Out);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, F.cancelled());
  }

  // Guards against requests that are cut off at a target that works on them,
  // since the store lost renewals and the entry of its node vanished.
  void removedNodeThatLivesAnswers() {
    for (const char *Path : {"/read/x", "/write/x"}) {
      Fixture F;
      F.sendRequest(1, Path);
      std::uint64_t Id = F.sent()->Id;
      F.Out.clear();
      F.Entry.handleNodeRemoved(NearNode, F.Now, F.Out);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, F.Out.size());
      const auto *Query = std::get_if<SendMessage>(&F.Out.at(0));
      CPPUNIT_ASSERT(Query &&
                     std::holds_alternative<ResumeForward>(Query->Body));
      ForwardResult Result{.Id = Id, .Answer = {200, {}, "whole"}};
      F.Out.clear();
      F.Entry.handleResult(NearNode, Result, F.Now, F.Out);
      CPPUNIT_ASSERT_EQUAL(200, F.status());
    }
  }

  // Guards against a request that waits for its whole timeout at a node that is
  // gone: its connection breaks after its entry vanished, or before.
  void removedNodeThatIsGoneEndsItsRequests() {
    for (bool ConnectionFirst : {false, true}) {
      Fixture F;
      F.sendRequest(1, "/write/x");
      std::uint64_t Id = F.sent()->Id;
      if (ConnectionFirst) {
        F.Entry.handleConnectionLost(NearNode, F.Now, F.Out);
        F.Entry.handleSendFailure(NearNode, Id, F.Now, F.Out);
      }
      F.Entry.handleNodeRemoved(NearNode, F.Now, F.Out);
      CPPUNIT_ASSERT_EQUAL(0, F.status());
      if (!ConnectionFirst)
        F.Entry.handleConnectionLost(NearNode, F.Now, F.Out);
      F.Out.clear();
      F.Entry.handleSendFailure(NearNode, Id, F.Now, F.Out);
      CPPUNIT_ASSERT_EQUAL(502, F.status());
    }
  }

  // Guards against a request that waits for its whole timeout although its node
  // restarted, for example after a power loss. The new process must be asked,
  // and a request that is not idempotent fails with its reply.
  void resumesAtTheNewProcessOfANode() {
    Fixture F;
    F.sendRequest(1, "/write/x");
    std::uint64_t Id = F.sent()->Id;
    F.Out.clear();
    F.Entry.handleConnectionLost(NearNode, F.Now, F.Out);
    F.Entry.handleSendFailure(NearNode, Id, F.Now, F.Out);
    CPPUNIT_ASSERT_EQUAL(0, F.status());
    F.Out.clear();
    F.Entry.handleNodeReplaced(NearNode, F.Now, F.Out);
    const auto *Query = std::get_if<SendMessage>(&F.Out.at(0));
    CPPUNIT_ASSERT(Query && std::holds_alternative<ResumeForward>(Query->Body));
    ForwardResult Result{.Id = Id, .Code = Outcome::Lost};
    F.Out.clear();
    F.Entry.handleResult(NearNode, Result, F.Now, F.Out);
    CPPUNIT_ASSERT_EQUAL(502, F.status());
  }

  // 503 promises that no target has run the request; this also applies to
  // idempotent requests.
  void neverAnswers503AfterALostAttempt() {
    Fixture F;
    F.sendRequest(1, "/keyed/x", 5);
    F.Owner.Node.clear();
    F.receiveResult(NearNode, Outcome::Lost);
    CPPUNIT_ASSERT_EQUAL(502, F.status());
  }

  // A body that would occupy a slow link for a long time is only sent when the
  // receiving node requests it.
  void withholdsBodiesFromSlowLinks() {
    Fixture F;
    F.setLink(NearNode, 125'000'000);
    F.upload(1);
    CPPUNIT_ASSERT(F.sent()->WithheldBytes == 0);
    CPPUNIT_ASSERT_EQUAL(BodyBytes, F.sent()->Content->Body.size());
    F.setLink(NearNode, 1'250'000);
    F.upload(2);
    CPPUNIT_ASSERT(F.sent()->WithheldBytes == BodyBytes);
    CPPUNIT_ASSERT(F.sent()->Content->Body.empty());
    FetchBody Fetch{.Id = F.sent()->Id, .Process = 1};
    F.Out.clear();
    F.Entry.handleFetchBody(FarNode, Fetch, F.Now, F.Out);
    CPPUNIT_ASSERT(F.Out.empty());
    F.Entry.handleFetchBody(NearNode, Fetch, F.Now, F.Out);
    const auto *Sent = std::get_if<SendMessage>(&F.Out.at(0));
    CPPUNIT_ASSERT(Sent && Sent->To == NearNode);
    CPPUNIT_ASSERT_EQUAL(BodyBytes,
                         std::get<ForwardBody>(Sent->Body).Body.size());
  }

  // Without its body a request cannot have run and may be retried even if it is
  // not idempotent. Once the body was sent, it may have run.
  void retriesElsewhereBeforeTheBodyIsSent() {
    Fixture F;
    F.setLink(NearNode, 1'250'000);
    F.upload(1);
    FetchBody Fetch{.Id = F.sent()->Id, .Process = 1};
    F.Out.clear();
    F.Entry.handleNodeRemoved(NearNode, F.Now, F.Out);
    std::string To;
    CPPUNIT_ASSERT(F.sent(&To));
    CPPUNIT_ASSERT_EQUAL(std::string(FarNode), To);
    F.Out.clear();
    F.Entry.handleFetchBody(NearNode, Fetch, F.Now, F.Out);
    CPPUNIT_ASSERT(F.Out.empty());
    Fixture AfterSend;
    AfterSend.setLink(NearNode, 1'250'000);
    AfterSend.upload(2);
    Fetch.Id = AfterSend.sent()->Id;
    AfterSend.Entry.handleFetchBody(NearNode, Fetch, AfterSend.Now,
                                    AfterSend.Out);
    AfterSend.Out.clear();
    AfterSend.Entry.handleNodeRemoved(NearNode, AfterSend.Now, AfterSend.Out);
    AfterSend.Entry.handleSendFailure(NearNode, Fetch.Id, AfterSend.Now,
                                      AfterSend.Out);
    CPPUNIT_ASSERT_EQUAL(502, AfterSend.status());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryRecoveryTest);

} // namespace
} // namespace orioledoor::routing
