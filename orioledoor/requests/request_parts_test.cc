// Guards the small classes of the request path, each against the fault named
// at its test.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/requests/admission_queue.h"
#include "orioledoor/requests/answers.h"
#include "orioledoor/requests/crash_table.h"
#include "orioledoor/requests/member_choice.h"
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

Forward sendOf(std::uint64_t History, std::uint32_t Attempt,
               std::optional<Duration> Age, Duration HistoryAge) {
  Forward Sent;
  Sent.History = History;
  Sent.Attempt = Attempt;
  Sent.Age = Age;
  Sent.HistoryAge = HistoryAge;
  return Sent;
}

class RequestPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestPartsTest);
  CPPUNIT_TEST(historyRule);
  CPPUNIT_TEST(tableSurvivesMove);
  CPPUNIT_TEST(tableForgetsAfterTenMinutes);
  CPPUNIT_TEST(malformedTableGivesStatus);
  CPPUNIT_TEST(budgetBoundsRetries);
  CPPUNIT_TEST(secondCrashQuarantines);
  CPPUNIT_TEST(limiterFollowsShare);
  CPPUNIT_TEST(duplicatedGrantCountsOnce);
  CPPUNIT_TEST(queueShedsCheapestClass);
  CPPUNIT_TEST(queueExpectsWait);
  CPPUNIT_TEST(windowAcceptsOnce);
  CPPUNIT_TEST(timersSurviveCompaction);
  CPPUNIT_TEST(lessLoadedMemberIsChosen);
  CPPUNIT_TEST(errorBodyNamesStepAndPeer);
  CPPUNIT_TEST_SUITE_END();

public:
  // An operation that an earlier owner may have run must not run again.
  void historyRule() {
    auto Lost = OperationTable::startHistory(5, false, Start);
    Instant Now = Start + 60s;
    auto Judge = [&](const Forward &Sent) { return Lost.judge(Sent, Now); };
    CPPUNIT_ASSERT(Judge(sendOf(5, 1, {}, 60s)) == Novelty::New);
    CPPUNIT_ASSERT(Judge(sendOf(4, 1, {}, 60s)) == Novelty::WrongHistory);
    CPPUNIT_ASSERT(Judge(sendOf(0, 1, {}, 0s)) == Novelty::WrongHistory);
    CPPUNIT_ASSERT(Judge(sendOf(5, 2, 50s, 60s)) == Novelty::New);
    CPPUNIT_ASSERT(Judge(sendOf(5, 2, 70s, 60s)) == Novelty::Uncertain);
    // The history aged while the Forward was on its way.
    CPPUNIT_ASSERT(Judge(sendOf(5, 2, 50s, 40s)) == Novelty::Uncertain);
    CPPUNIT_ASSERT(Judge(sendOf(5, 2, {}, 60s)) == Novelty::Uncertain);
    CPPUNIT_ASSERT(Judge(sendOf(5, 0, {}, 60s)) == Novelty::Uncertain);
    CPPUNIT_ASSERT(Judge(sendOf(5, 2, 600s, 60s)) == Novelty::TooOld);
    Now = Start + 601s;
    CPPUNIT_ASSERT(Judge(sendOf(5, 0, {}, 601s)) == Novelty::New);
    auto Whole = OperationTable::startHistory(5, true, Start);
    CPPUNIT_ASSERT(Whole.judge(sendOf(0, 0, {}, 0s), Start) == Novelty::New);
  }

  // A lost entry or history start would let a moved slice run a resend.
  void tableSurvivesMove() {
    auto Table = OperationTable::startHistory(5, false, Start);
    Table.insert("ran", 1, 10, Start + 1s);
    Operation *Held = Table.find("ran", Start + 1s);
    Held->State = OperationState::Answered;
    Held->Answered = {201, {{"A", "b"}}, "body"};
    Table.insert("runs", 2, 11, Start + 2s);
    Table.insert("refused", 3, 12, Start + 2s);
    Table.erase("refused");
    // The clocks of two nodes share nothing.
    Instant There(7);
    auto Moved = OperationTable::decode(Table.encode(Start + 60s), There);
    CPPUNIT_ASSERT(Moved.ok());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, Moved->historyId());
    CPPUNIT_ASSERT(Moved->historyAge(There) == Duration(60s));
    CPPUNIT_ASSERT_EQUAL(std::string("body"),
                         Moved->find("ran", There)->Answered.Body);
    CPPUNIT_ASSERT(Moved->find("runs", There)->State ==
                   OperationState::Unknown);
    CPPUNIT_ASSERT(!Moved->find("refused", There));
    CPPUNIT_ASSERT(!Moved->find("ran", There + 542s));
    CPPUNIT_ASSERT(Moved->judge(sendOf(5, 2, 50s, 60s), There) == Novelty::New);
  }

  // Entries that stay would use up memory; entries that go early would let a
  // resend run.
  void tableForgetsAfterTenMinutes() {
    auto Table = OperationTable::startHistory(5, true, Start);
    Table.insert("op", 1, 10, Start);
    Table.find("op", Start)->State = OperationState::Unknown;
    CPPUNIT_ASSERT(Table.find("op", Start + 600s));
    CPPUNIT_ASSERT(!Table.find("op", Start + 601s));
    Table.insert("running", 1, 11, Start + 601s);
    CPPUNIT_ASSERT(Table.find("running", Start + 1300s));
  }

  // A table from a peer must not raise an exception in the reducer.
  void malformedTableGivesStatus() {
    std::string Bytes =
        OperationTable::startHistory(5, true, Start).encode(Start);
    CPPUNIT_ASSERT(!OperationTable::decode("x", Start).ok());
    CPPUNIT_ASSERT(
        !OperationTable::decode(Bytes.substr(0, Bytes.size() - 1), Start).ok());
  }

  // Unbounded retries would multiply an overload.
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

  // A request that crashes targets must be refused after the second, and a
  // notice that arrives twice must not count twice.
  void secondCrashQuarantines() {
    using Verdict = CrashTable::Verdict;
    CrashTable Table;
    Table.suspect(9, Start);
    CPPUNIT_ASSERT(Table.judge(9, Start) == Verdict::Clear);
    CPPUNIT_ASSERT(!Table.count(9, 1, Start));
    CPPUNIT_ASSERT(!Table.count(9, 1, Start));
    CPPUNIT_ASSERT(Table.judge(9, Start) == Verdict::Clear);
    Table.suspect(9, Start);
    CPPUNIT_ASSERT(Table.judge(9, Start + 2s) == Verdict::Suspected);
    CPPUNIT_ASSERT(Table.judge(9, Start + 4s) == Verdict::Clear);
    CPPUNIT_ASSERT(Table.count(9, 2, Start + 5s));
    CPPUNIT_ASSERT(Table.judge(9, Start + 604s) == Verdict::Quarantined);
    CPPUNIT_ASSERT(Table.judge(9, Start + 605s) == Verdict::Clear);
    Table.expire(Start + 605s);
    CPPUNIT_ASSERT(!Table.holds(9));
  }

  // A slice that changes hands must not earn tokens on both sides.
  void limiterFollowsShare() {
    RateLimiter Limiter;
    CPPUNIT_ASSERT(Limiter.tryTake(10, 0.1, Start));
    CPPUNIT_ASSERT(!Limiter.tryTake(10, 0.1, Start));
    CPPUNIT_ASSERT(Limiter.untilNext() == Duration(1s));
    CPPUNIT_ASSERT(!Limiter.tryTake(10, 1, Start + 900ms));
    CPPUNIT_ASSERT(Limiter.tryTake(10, 1, Start + 911ms));
    CPPUNIT_ASSERT(Limiter.tryTake(0, 0, Start));
    int Taken = 0;
    for (Instant Now = Start; Now < Start + 10s; Now = Now + 1ms)
      Taken += Limiter.tryTake(100, 0.5, Now + 10s) ? 1 : 0;
    CPPUNIT_ASSERT(Taken >= 495 && Taken <= 505);
  }

  // The coordinator recorded the grant once.
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
    // What was held for yesterday is not today's.
    CPPUNIT_ASSERT(!Ledger.trySpend(Service, 2));
  }

  // Overload must cost the cheapest class first, and oldest requests go first.
  void queueShedsCheapestClass() {
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

  // A request that cannot meet its deadline is refused by this estimate.
  void queueExpectsWait() {
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

  // A second copy of a Forward would run or be refused a second time.
  void windowAcceptsOnce() {
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

  // Timers of ended requests must go, those of others must stay in order.
  void timersSurviveCompaction() {
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

  // The own region goes first; a retry may leave it.
  void lessLoadedMemberIsChosen() {
    MemberChoice Members;
    ServiceId Service{1};
    CPPUNIT_ASSERT(!Members.choose(Service, 0, false));
    Members.note(Service,
                 {{MemberId{1}, "a", false, false},
                  {MemberId{2}, "b", false, true},
                  {MemberId{3}, "c", false, true}},
                 Start);
    CPPUNIT_ASSERT(Members.isFresh(Service, Start + 19ms));
    CPPUNIT_ASSERT(!Members.isFresh(Service, Start + 20ms));
    // The two halves of the number choose the two candidates.
    std::uint64_t Both = std::uint64_t{1} << 32;
    MemberId First = Members.choose(Service, Both, false)->Owner;
    Members.started(First);
    CPPUNIT_ASSERT(Members.choose(Service, Both, false)->Owner != First);
    Members.ended(First);
    CPPUNIT_ASSERT(Members.choose(Service, Both, false)->Owner == First);
    for (std::uint64_t Random = 0; Random < 9; ++Random)
      CPPUNIT_ASSERT(Members.choose(Service, Random, false)->SameRegion);
  }

  // Callers and operators rely on these fields.
  void errorBodyNamesStepAndPeer() {
    Answer Ended = answerRefusal(Forward{}, {.Status = 503,
                                             .Step = "admission",
                                             .Message = "full \"queue\"",
                                             .RetryAfter = 1100ms});
    Ended.Peer = "p";
    HttpAnswer Final = completeAnswer(Ended, Outcome::Unknown);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"message":"full \"queue\"","outcome":"unknown",)"
                    R"("peer":"p","step":"admission"})"),
        Final.Body);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Final.Headers.at(0).Value);
    HttpRequest One{"POST", "ab", "c", "", {}, ""};
    HttpRequest Other{"POST", "a", "bc", "", {}, ""};
    CPPUNIT_ASSERT(crashDigest(One) != crashDigest(Other));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPartsTest);

} // namespace
} // namespace orioledoor::requests
