// Tests of EntryReducer: which requests are refused, retried or failed, and
// which status the caller gets.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "orioledoor/routing/testing/entry_fixture.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using testing::FarNode;
using testing::NearNode;
using testing::newTable;
using Fixture = testing::EntryFixture;

class EntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryTest);
  CPPUNIT_TEST(refusesWithoutConfiguration);
  CPPUNIT_TEST(refusesUnknownRoutes);
  CPPUNIT_TEST(prefersTheOwnFailureDomain);
  CPPUNIT_TEST(triesAnotherTargetWhenBusy);
  CPPUNIT_TEST(retriesOnlyIdempotentRequestsAfterLoss);
  CPPUNIT_TEST(stopsRetryingAtTheBudget);
  CPPUNIT_TEST(answers504WhenTheTargetMayHaveRun);
  CPPUNIT_TEST(endsAtTheRouteTimeout);
  CPPUNIT_TEST(parksWhileAKeyMoves);
  CPPUNIT_TEST(refusesAKeyWithoutOwnerAtOnce);
  CPPUNIT_TEST(cancelsWhenTheCallerDisconnects);
  CPPUNIT_TEST(ignoresResultsOfEarlierAttempts);
  CPPUNIT_TEST(splitsRequestsByWeight);
  CPPUNIT_TEST(keepsSharesAcrossConfigurationChanges);
  CPPUNIT_TEST(splitsRequestsOfAllNodesByWeight);
  CPPUNIT_TEST(reducesTheLatencyTargetOfRetryingCallers);
  CPPUNIT_TEST_SUITE_END();

public:
  // Without a configuration a route may exist, so 404 would be wrong.
  void refusesWithoutConfiguration() {
    Fixture F;
    F.Entry.setTable(nullptr);
    F.sendRequest(1, "/read/x");
    CPPUNIT_ASSERT_EQUAL(503, F.status());
    CPPUNIT_ASSERT_EQUAL(std::string("Retry-After"),
                         F.reply()->Headers.at(1).Name);
  }

  void refusesUnknownRoutes() {
    Fixture F;
    F.sendRequest(1, "/other/x");
    CPPUNIT_ASSERT_EQUAL(404, F.status());
    F.sendRequest(2, "/read");
    CPPUNIT_ASSERT_EQUAL(404, F.status());
  }

  void prefersTheOwnFailureDomain() {
    Fixture F;
    std::string To;
    F.sendRequest(1, "/read/x");
    CPPUNIT_ASSERT(F.sent(&To));
    CPPUNIT_ASSERT_EQUAL(std::string(NearNode), To);
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), F.sent()->CallerService);
    // The wait beyond which the other region is better is sent along.
    CPPUNIT_ASSERT(F.sent()->MaxUsefulWait > milliseconds(10));
    CPPUNIT_ASSERT(!F.sent()->LastChoice);
  }

  void triesAnotherTargetWhenBusy() {
    Fixture F;
    F.sendRequest(1, "/write/x");
    F.receiveResult(NearNode, Outcome::Busy);
    std::string To;
    CPPUNIT_ASSERT(F.sent(&To));
    CPPUNIT_ASSERT_EQUAL(std::string(FarNode), To);
    CPPUNIT_ASSERT(F.sent()->LastChoice);
    F.receiveResult(FarNode, Outcome::Busy);
    CPPUNIT_ASSERT_EQUAL(503, F.status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, F.Entry.openRequests());
  }

  void retriesOnlyIdempotentRequestsAfterLoss() {
    Fixture F;
    F.sendRequest(1, "/read/x");
    F.receiveResult(NearNode, Outcome::Lost);
    CPPUNIT_ASSERT(F.sent() && !F.reply());
    F.receiveResult(FarNode, Outcome::Lost);
    CPPUNIT_ASSERT_EQUAL(502, F.status());
    F.sendRequest(2, "/write/x");
    F.receiveResult(NearNode, Outcome::Lost);
    CPPUNIT_ASSERT_EQUAL(502, F.status());
  }

  void stopsRetryingAtTheBudget() {
    Fixture F;
    int Retried = 0;
    for (std::uint64_t Caller = 1; Caller <= 20; ++Caller) {
      F.sendRequest(Caller, "/read/x");
      std::string To;
      F.sent(&To);
      F.receiveResult(To, Outcome::Lost);
      Retried += F.sent() != nullptr;
    }
    CPPUNIT_ASSERT_EQUAL(3, Retried);
  }

  // 503 promises that the request never runs. After a send that may have
  // arrived, only 502 and 504 are correct.
  void answers504WhenTheTargetMayHaveRun() {
    Fixture F;
    F.sendRequest(1, "/write/x");
    F.advance(milliseconds(1201));
    CPPUNIT_ASSERT_EQUAL(504, F.status());
  }

  void endsAtTheRouteTimeout() {
    Fixture F;
    F.sendRequest(1, "/read/x");
    F.advance(milliseconds(1100));
    CPPUNIT_ASSERT_EQUAL(0, F.status());
    F.advance(milliseconds(120));
    CPPUNIT_ASSERT_EQUAL(504, F.status());
    // The request is cancelled at the target.
    bool Cancelled = false;
    for (const Effect &Output : F.Out)
      if (const auto *Message = std::get_if<SendMessage>(&Output))
        Cancelled |= std::holds_alternative<CancelForward>(Message->Body);
    CPPUNIT_ASSERT(Cancelled);
  }

  void parksWhileAKeyMoves() {
    Fixture F;
    F.sendRequest(1, "/keyed/x", 5);
    F.receiveResult(NearNode, Outcome::NotOwner);
    CPPUNIT_ASSERT(!F.reply() && !F.sent());
    F.Owner.Node = FarNode;
    F.Out.clear();
    F.Entry.handleOwnersChanged(F.Now, F.Out);
    std::string To;
    CPPUNIT_ASSERT(F.sent(&To));
    CPPUNIT_ASSERT_EQUAL(std::string(FarNode), To);
  }

  void refusesAKeyWithoutOwnerAtOnce() {
    Fixture F;
    F.Owner.Node.clear();
    F.sendRequest(1, "/keyed/x", 5);
    CPPUNIT_ASSERT_EQUAL(503, F.status());
    F.sendRequest(2, "/keyed/x");
    CPPUNIT_ASSERT_EQUAL(400, F.status());
  }

  void cancelsWhenTheCallerDisconnects() {
    Fixture F;
    F.sendRequest(1, "/read/x");
    F.Out.clear();
    F.Entry.handleCallerDisconnect(1, F.Now, F.Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, F.Entry.openRequests());
    const auto *Message = std::get_if<SendMessage>(&F.Out.back());
    CPPUNIT_ASSERT(Message &&
                   std::holds_alternative<CancelForward>(Message->Body));
  }

  // A late result of an earlier attempt must not become the answer of a later
  // one.
  void ignoresResultsOfEarlierAttempts() {
    Fixture F;
    F.sendRequest(1, "/read/x");
    std::uint64_t First = F.sent()->Id;
    F.receiveResult(NearNode, Outcome::Busy);
    F.Out.clear();
    ForwardResult Late;
    Late.Id = First;
    Late.Answer.Status = 200;
    F.Entry.handleResult(NearNode, Late, F.Now, F.Out);
    CPPUNIT_ASSERT(F.Out.empty());
  }

  void splitsRequestsByWeight() {
    Fixture F;
    int Keyed = 0;
    for (std::uint64_t Caller = 1; Caller <= 100; ++Caller) {
      F.sendRequest(Caller, "/split/x", 5);
      Keyed += F.sent() && F.sent()->Service == "keyed";
    }
    CPPUNIT_ASSERT_EQUAL(10, Keyed);
  }

  // Guards against round-robin state that is reset by each configuration
  // change: with frequent changes, every request went to the service with the
  // largest weight.
  void keepsSharesAcrossConfigurationChanges() {
    Fixture F;
    int Keyed = 0;
    for (std::uint64_t Caller = 1; Caller <= 200; ++Caller) {
      F.Entry.setTable(newTable());
      F.sendRequest(Caller, "/split/x", 5);
      Keyed += F.sent() && F.sent()->Service == "keyed";
    }
    CPPUNIT_ASSERT_EQUAL(20, Keyed);
  }

  // Guards against nodes that all start at the same position of the cycle: on a
  // route with few requests, every node of a fleet of 72 sent its first
  // requests to the same service.
  void splitsRequestsOfAllNodesByWeight() {
    int Keyed = 0;
    for (std::uint64_t Process = 1; Process <= 72; ++Process) {
      Fixture F(Process * 7919);
      for (std::uint64_t Caller = 1; Caller <= 3; ++Caller) {
        F.sendRequest(Caller, "/split/x", 5);
        Keyed += F.sent() && F.sent()->Service == "keyed";
      }
    }
    // 21.6 of the 216 requests are expected; the tolerance is a tenth of all.
    CPPUNIT_ASSERT(Keyed > 5 && Keyed < 43);
  }

  // A retrying caller keeps the latency target of its first attempt, so that
  // under overload requests that can still be in time go first.
  void reducesTheLatencyTargetOfRetryingCallers() {
    Fixture F;
    F.sendRequest(1, "/keyed/x", 5);
    CPPUNIT_ASSERT(F.sent()->LatencyLeft == milliseconds(400));
    auto Content = std::make_shared<RequestContent>();
    Content->Host = "h";
    Content->Target = "/keyed/x";
    F.Out.clear();
    F.Entry.handleRequest({.Caller = 2,
                           .AttemptId = "b",
                           .TimeLeft = milliseconds(1700),
                           .Key = 5,
                           .FirstByteAt = F.Now,
                           .Content = Content},
                          F.Now, F.Out);
    CPPUNIT_ASSERT(F.sent()->LatencyLeft == milliseconds(-400));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryTest);

} // namespace
} // namespace orioledoor::routing
