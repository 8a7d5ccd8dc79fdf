// Unit tests of the classes that the request reducer is built from. The comment
// at each test names the failure that it guards against.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/requests/admission_queue.h"
#include "orioledoor/requests/answers.h"
#include "orioledoor/requests/crash_table.h"
#include "orioledoor/requests/member_selector.h"
#include "orioledoor/requests/operation_table.h"
#include "orioledoor/requests/rate_limiter.h"
#include "orioledoor/requests/replay_window.h"
#include "orioledoor/requests/retry_budget.h"
#include "orioledoor/requests/spend_ledger.h"
#include "orioledoor/requests/timer_heap.h"

namespace orioledoor::requests {
namespace {

using namespace std::chrono_literals;

constexpr Instant Start{1'000'000'000};

Forward makeForward(std::uint64_t History, std::uint32_t Attempt,
                    std::optional<Duration> Age, Duration HistoryAge) {
  Forward Message;
  Message.History = History;
  Message.Attempt = Attempt;
  Message.Age = Age;
  Message.HistoryAge = HistoryAge;
  return Message;
}

class RequestPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestPartsTest);
  CPPUNIT_TEST(replayCheckRejectsPossibleRerun);
  CPPUNIT_TEST(tableKeepsContentsInMove);
  CPPUNIT_TEST(tableExpiresAfterTenMinutes);
  CPPUNIT_TEST(malformedTableReturnsError);
  CPPUNIT_TEST(budgetBoundsRetries);
  CPPUNIT_TEST(secondCrashQuarantines);
  CPPUNIT_TEST(limiterUsesLowerRateAfterShareChange);
  CPPUNIT_TEST(duplicatedGrantCountsOnce);
  CPPUNIT_TEST(queueShedsLowestClass);
  CPPUNIT_TEST(queueEstimatesWait);
  CPPUNIT_TEST(replayWindowAcceptsEachIdOnce);
  CPPUNIT_TEST(compactionKeepsLiveTimers);
  CPPUNIT_TEST(lessLoadedMemberIsChosen);
  CPPUNIT_TEST(errorBodyNamesStepAndPeer);
  CPPUNIT_TEST_SUITE_END();

public:
  // An operation that an earlier owner may have run must not run again.
  void replayCheckRejectsPossibleRerun() {
    auto LostTable = OperationTable::startHistory(5, false, Start);
    Instant Now = Start + 60s;
    auto Check = [&](const Forward &Resend) {
      return LostTable.checkReplay(Resend, Now);
    };
    CPPUNIT_ASSERT(Check(makeForward(5, 1, {}, 60s)) == ReplayCheck::New);
    CPPUNIT_ASSERT(Check(makeForward(4, 1, {}, 60s)) ==
                   ReplayCheck::WrongHistory);
    CPPUNIT_ASSERT(Check(makeForward(0, 1, {}, 0s)) ==
                   ReplayCheck::WrongHistory);
    CPPUNIT_ASSERT(Check(makeForward(5, 2, 50s, 60s)) == ReplayCheck::New);
    CPPUNIT_ASSERT(Check(makeForward(5, 2, 70s, 60s)) ==
                   ReplayCheck::Uncertain);
    // The history grew older while the Forward was delayed.
    CPPUNIT_ASSERT(Check(makeForward(5, 2, 50s, 40s)) ==
                   ReplayCheck::Uncertain);
    CPPUNIT_ASSERT(Check(makeForward(5, 2, {}, 60s)) == ReplayCheck::Uncertain);
    CPPUNIT_ASSERT(Check(makeForward(5, 0, {}, 60s)) == ReplayCheck::Uncertain);
    CPPUNIT_ASSERT(Check(makeForward(5, 2, 600s, 60s)) == ReplayCheck::TooOld);
    Now = Start + 601s;
    CPPUNIT_ASSERT(Check(makeForward(5, 0, {}, 601s)) == ReplayCheck::New);
    auto CompleteTable = OperationTable::startHistory(5, true, Start);
    CPPUNIT_ASSERT(CompleteTable.checkReplay(makeForward(0, 0, {}, 0s),
                                             Start) == ReplayCheck::New);
  }

  // If a move lost an entry or the start of the history, the new owner could
  // run an operation again.
  void tableKeepsContentsInMove() {
    auto Table = OperationTable::startHistory(5, false, Start);
    Table.insert("ran", 1, 10, Start + 1s);
    Operation *Stored = Table.find("ran", Start + 1s);
    Stored->State = OperationState::Answered;
    Stored->Response = {201, {{"A", "b"}}, "body"};
    Table.insert("runs", 2, 11, Start + 2s);
    Table.insert("refused", 3, 12, Start + 2s);
    Table.erase("refused");
    // The monotonic clocks of two nodes are unrelated.
    Instant NewOwnerNow(7);
    auto Decoded =
        OperationTable::decode(Table.encode(Start + 60s), NewOwnerNow);
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, Decoded->historyId());
    CPPUNIT_ASSERT(Decoded->historyAge(NewOwnerNow) == Duration(60s));
    CPPUNIT_ASSERT_EQUAL(std::string("body"),
                         Decoded->find("ran", NewOwnerNow)->Response.Body);
    CPPUNIT_ASSERT(Decoded->find("runs", NewOwnerNow)->State ==
                   OperationState::Unknown);
    CPPUNIT_ASSERT(!Decoded->find("refused", NewOwnerNow));
    CPPUNIT_ASSERT(!Decoded->find("ran", NewOwnerNow + 542s));
    CPPUNIT_ASSERT(Decoded->checkReplay(makeForward(5, 2, 50s, 60s),
                                        NewOwnerNow) == ReplayCheck::New);
  }

  // Entries that never expire use up memory; entries that expire early let a
  // resend run twice.
  void tableExpiresAfterTenMinutes() {
    auto Table = OperationTable::startHistory(5, true, Start);
    Table.insert("op", 1, 10, Start);
    Table.find("op", Start)->State = OperationState::Unknown;
    CPPUNIT_ASSERT(Table.find("op", Start + 600s));
    CPPUNIT_ASSERT(!Table.find("op", Start + 601s));
    Table.insert("running", 1, 11, Start + 601s);
    CPPUNIT_ASSERT(Table.find("running", Start + 1300s));
  }

  // A malformed table from a peer must not raise an exception in the reducer.
  void malformedTableReturnsError() {
    std::string Bytes =
        OperationTable::startHistory(5, true, Start).encode(Start);
    CPPUNIT_ASSERT(!OperationTable::decode("x", Start).ok());
    CPPUNIT_ASSERT(
        !OperationTable::decode(Bytes.substr(0, Bytes.size() - 1), Start).ok());
  }

  // Unbounded retries amplify an overload.
  void budgetBoundsRetries() {
    RetryBudget Budget;
    auto Drain = [&Budget](Instant Now) {
      int Count = 0;
      while (Budget.withdraw(Now))
        ++Count;
      return Count;
    };
    CPPUNIT_ASSERT_EQUAL(10, Drain(Start));
    for (int I = 0; I < 205; ++I)
      Budget.deposit(0.1);
    CPPUNIT_ASSERT_EQUAL(20, Drain(Start));
    CPPUNIT_ASSERT_EQUAL(10, Drain(Start + 3600s));
  }

  // A request that crashes targets must be refused after the second crash, and
  // a duplicated notice must not be counted twice.
  void secondCrashQuarantines() {
    using DigestState = CrashTable::DigestState;
    CrashTable Table;
    Table.markSuspected(9, Start);
    CPPUNIT_ASSERT(Table.stateOf(9, Start) == DigestState::Clear);
    CPPUNIT_ASSERT(!Table.recordCrash(9, 1, Start));
    CPPUNIT_ASSERT(!Table.recordCrash(9, 1, Start));
    CPPUNIT_ASSERT(Table.stateOf(9, Start) == DigestState::Clear);
    Table.markSuspected(9, Start);
    CPPUNIT_ASSERT(Table.stateOf(9, Start + 2s) == DigestState::Suspected);
    CPPUNIT_ASSERT(Table.stateOf(9, Start + 4s) == DigestState::Clear);
    CPPUNIT_ASSERT(Table.recordCrash(9, 2, Start + 5s));
    CPPUNIT_ASSERT(Table.stateOf(9, Start + 604s) == DigestState::Quarantined);
    CPPUNIT_ASSERT(Table.stateOf(9, Start + 605s) == DigestState::Clear);
    Table.expire(Start + 605s);
    CPPUNIT_ASSERT(!Table.contains(9));
  }

  // While a slice moves, its share of the rate must not be counted on both
  // nodes.
  void limiterUsesLowerRateAfterShareChange() {
    RateLimiter Limiter;
    CPPUNIT_ASSERT(Limiter.tryTake(10, 0.1, Start));
    CPPUNIT_ASSERT(!Limiter.tryTake(10, 0.1, Start));
    CPPUNIT_ASSERT(Limiter.timeUntilNextToken() == Duration(1s));
    CPPUNIT_ASSERT(!Limiter.tryTake(10, 1, Start + 900ms));
    CPPUNIT_ASSERT(Limiter.tryTake(10, 1, Start + 911ms));
    CPPUNIT_ASSERT(Limiter.tryTake(0, 0, Start));
    int Taken = 0;
    for (Instant Now = Start; Now < Start + 10s; Now = Now + 1ms)
      Taken += Limiter.tryTake(100, 0.5, Now + 10s) ? 1 : 0;
    CPPUNIT_ASSERT(Taken >= 495 && Taken <= 505);
  }

  // The coordinator records a grant once, so a duplicated message must not be
  // counted again.
  void duplicatedGrantCountsOnce() {
    SpendLedger Ledger;
    ServiceId Service{3};
    CPPUNIT_ASSERT(!Ledger.trySpend(Service, 1));
    CPPUNIT_ASSERT(Ledger.amountToRequest(Service, 1, 64, 1, Start) ==
                   std::uint64_t{1});
    CPPUNIT_ASSERT(!Ledger.amountToRequest(Service, 1, 64, 1, Start));
    Ledger.grant(Service, 1, 1);
    Ledger.grant(Service, 1, 1);
    CPPUNIT_ASSERT(Ledger.trySpend(Service, 1));
    CPPUNIT_ASSERT(!Ledger.trySpend(Service, 1));
    Ledger.refund(Service, 1);
    // Spend of one day is not valid on the next.
    CPPUNIT_ASSERT(!Ledger.trySpend(Service, 2));
  }

  // Under overload the lowest class is shed first, and within a class the
  // oldest request starts first.
  void queueShedsLowestClass() {
    AdmissionQueue Queue;
    Queue.setSlots(1);
    for (std::uint64_t Id = 1; Id <= 8; ++Id)
      CPPUNIT_ASSERT(
          Queue.push(Id, Id % 2 ? ServiceClass::Batch : ServiceClass::Standard)
              .Queued);
    CPPUNIT_ASSERT(!Queue.push(9, ServiceClass::Batch).Queued);
    auto Result = Queue.push(10, ServiceClass::Critical);
    CPPUNIT_ASSERT(Result.Queued);
    CPPUNIT_ASSERT(Result.Shed == std::uint64_t{7});
    Queue.remove(2, ServiceClass::Standard);
    for (std::uint64_t Expected : {10, 4, 6, 8, 1, 3, 5})
      CPPUNIT_ASSERT(Queue.pop() == Expected);
    CPPUNIT_ASSERT(!Queue.pop());
  }

  // Requests that cannot meet their deadline are refused based on this
  // estimate.
  void queueEstimatesWait() {
    AdmissionQueue Queue;
    Queue.setSlots(2);
    CPPUNIT_ASSERT(Queue.expectedWait(ServiceClass::Batch) == 0us);
    Queue.callStarted();
    Queue.callStarted();
    CPPUNIT_ASSERT(!Queue.slotFree());
    Queue.push(1, ServiceClass::Batch);
    CPPUNIT_ASSERT(Queue.expectedWait(ServiceClass::Batch) == 5ms);
    CPPUNIT_ASSERT(Queue.expectedWait(ServiceClass::Critical) == 2500us);
    Queue.callEnded(165ms);
    CPPUNIT_ASSERT(Queue.slotFree());
    Queue.callStarted();
    CPPUNIT_ASSERT(Queue.expectedWait(ServiceClass::Critical) == 7500us);
  }

  // A second copy of a Forward would run, or be refused, a second time.
  void replayWindowAcceptsEachIdOnce() {
    ReplayWindow Window;
    for (std::uint64_t Id : {5, 3, 4, 100, 1})
      CPPUNIT_ASSERT(Window.accept(Id) && !Window.accept(Id));
    CPPUNIT_ASSERT(Window.accept(5 + ReplayWindow::Size));
    CPPUNIT_ASSERT(!Window.accept(5));
    CPPUNIT_ASSERT(!Window.accept(100));
    CPPUNIT_ASSERT(Window.accept(101));
    CPPUNIT_ASSERT(Window.accept(std::uint64_t{1} << 40));
    CPPUNIT_ASSERT(!Window.accept(102));
  }

  // Compaction must remove timers of ended requests and keep the others in
  // order.
  void compactionKeepsLiveTimers() {
    TimerHeap Timers;
    for (std::uint64_t Id = 0; Id < 2000; ++Id)
      Timers.push(Start + Duration(static_cast<std::int64_t>(2000 - Id)), Id);
    Timers.compact(2, [](std::uint64_t Id) { return Id == 7 || Id == 9; });
    CPPUNIT_ASSERT(Timers.next() == Start + 1991us);
    CPPUNIT_ASSERT(!Timers.popDue(Start + 1990us));
    CPPUNIT_ASSERT(Timers.popDue(Start + 2s) == std::uint64_t{9});
    CPPUNIT_ASSERT(Timers.popDue(Start + 2s) == std::uint64_t{7});
    CPPUNIT_ASSERT(!Timers.popDue(Start + 2s));
  }

  // The node's own region is preferred; a retry may use other regions.
  void lessLoadedMemberIsChosen() {
    MemberSelector Members;
    ServiceId Service{1};
    CPPUNIT_ASSERT(!Members.choose(Service, 0, false));
    Members.update(Service,
                   {{MemberId{1}, "a", false, false},
                    {MemberId{2}, "b", false, true},
                    {MemberId{3}, "c", false, true}},
                   Start);
    CPPUNIT_ASSERT(Members.isFresh(Service, Start + 19ms));
    CPPUNIT_ASSERT(!Members.isFresh(Service, Start + 20ms));
    // The two halves of the random number select the two candidates.
    std::uint64_t CandidateBits = std::uint64_t{1} << 32;
    MemberId First = Members.choose(Service, CandidateBits, false)->Owner;
    Members.tryStarted(First);
    CPPUNIT_ASSERT(Members.choose(Service, CandidateBits, false)->Owner !=
                   First);
    Members.tryEnded(First);
    CPPUNIT_ASSERT(Members.choose(Service, CandidateBits, false)->Owner ==
                   First);
    for (std::uint64_t Random = 0; Random < 9; ++Random)
      CPPUNIT_ASSERT(Members.choose(Service, Random, false)->SameRegion);
  }

  // Callers and operators rely on these fields.
  void errorBodyNamesStepAndPeer() {
    Answer RefusalAnswer =
        makeRefusalAnswer(Forward{}, {.Status = 503,
                                      .Step = "admission",
                                      .Message = "full \"queue\"",
                                      .RetryAfter = 1100ms});
    RefusalAnswer.Peer = "p";
    HttpAnswer CallerAnswer = makeCallerAnswer(RefusalAnswer, Outcome::Unknown);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"message":"full \"queue\"","outcome":"unknown",)"
                    R"("peer":"p","step":"admission"})"),
        CallerAnswer.Body);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), CallerAnswer.Headers.at(0).Value);
    HttpRequest One{"POST", "ab", "c", "", {}, ""};
    HttpRequest Other{"POST", "a", "bc", "", {}, ""};
    CPPUNIT_ASSERT(crashDigest(One) != crashDigest(Other));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPartsTest);

} // namespace
} // namespace orioledoor::requests
