// Tests of the refusals at the entry node: adaptive throttling, early repeats
// and the spread of Retry-After.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "orioledoor/routing/adaptive_throttle.h"
#include "orioledoor/routing/refused_requests.h"
#include "orioledoor/routing/testing/entry_fixture.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::NearNode;

// A service of limited capacity behind the throttles of several entry nodes.
class ThrottledService {
public:
  ThrottledService(std::size_t Nodes, Duration RefusalDelay,
                   Duration AnswerDelay)
      : AcceptedByNode(Nodes), RefusalDelay(RefusalDelay),
        AnswerDelay(AnswerDelay), Throttles(Nodes) {}

  // Requests of one step of 100 ms, of all nodes together.
  struct Counts {
    int Offered = 0;
    int Sent = 0;
    int Accepted = 0;
  };

  // Rates are in requests/s over all nodes.
  void run(double Offered, double Capacity, Duration Time) {
    for (Instant End = this->Now + Time; this->Now < End;) {
      if (this->Now.micros() % 100'000 == 0)
        this->Steps.emplace_back();
      this->Now = this->Now + milliseconds(1);
      this->Room = std::min(this->Room + Capacity / 1000, Capacity / 20 + 1);
      while (!this->Results.empty() &&
             this->Results.begin()->first <= this->Now) {
        auto [Node, SentAt, Accepted] = this->Results.begin()->second;
        this->Results.erase(this->Results.begin());
        if (Accepted)
          this->Throttles[Node].noteAccepted(SentAt);
        else
          this->Throttles[Node].noteRefused(SentAt, Duration(0), this->Now);
      }
      // Random, so that no node always meets the room that was just freed.
      int Arrivals = std::poisson_distribution<>(Offered / 1000)(this->Random);
      for (int Arrival = 0; Arrival < Arrivals; ++Arrival)
        this->offer(this->Random() % this->Throttles.size());
    }
  }
  Counts total(std::size_t From, std::size_t To) const {
    Counts Sum;
    for (std::size_t Step = From; Step < To; ++Step) {
      Sum.Offered += this->Steps.at(Step).Offered;
      Sum.Sent += this->Steps.at(Step).Sent;
      Sum.Accepted += this->Steps.at(Step).Accepted;
    }
    return Sum;
  }

  Instant Now{std::int64_t{1'000'000}};
  std::vector<int> AcceptedByNode;

private:
  struct Result {
    std::size_t Node;
    Instant SentAt;
    bool Accepted;
  };

  double draw() { return std::uniform_real_distribution<>()(this->Random); }

  void offer(std::size_t Node) {
    Counts &Step = this->Steps.back();
    ++Step.Offered;
    if (this->Throttles[Node].shouldRefuse(this->draw(), this->Now))
      return;
    this->Throttles[Node].noteSent(this->Now);
    ++Step.Sent;
    bool Accepted = this->Room >= 1;
    if (Accepted) {
      this->Room -= 1;
      ++Step.Accepted;
      ++this->AcceptedByNode[Node];
    }
    this->Results.emplace(
        this->Now + (Accepted ? this->AnswerDelay : this->RefusalDelay),
        Result{Node, this->Now, Accepted});
  }

  Duration RefusalDelay;
  Duration AnswerDelay;
  std::vector<AdaptiveThrottle> Throttles;
  // Requests that the service could start at the moment.
  double Room = 0;
  std::multimap<Instant, Result> Results;
  std::vector<Counts> Steps;
  std::mt19937_64 Random{1};
};

// A fixture whose targets run a limited number of requests.
class Fixture : public testing::EntryFixture {
public:
  // Sends a request and has the targets refuse it, or the first one answer.
  void request(const std::string &Target, bool HasRoom) {
    this->sendRequest(++this->LastCaller, Target);
    std::string To;
    while (this->sent(&To))
      this->receiveResult(To, HasRoom ? Outcome::Answered : Outcome::Busy,
                          HasRoom ? 200 : 0);
  }
  Duration retryAfter() const {
    for (const Header &Field : this->reply()->Headers)
      if (Field.Name == "Retry-After")
        return milliseconds(std::lround(std::stod(Field.Value) * 1000));
    return Duration(0);
  }

  std::uint64_t LastCaller = 0;
};

class EntryThrottleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryThrottleTest);
  CPPUNIT_TEST(keepsRefusedRequestsOffTheLinks);
  CPPUNIT_TEST(staysSteadyWithOutdatedViews);
  CPPUNIT_TEST(sendsAllOnceThereIsRoom);
  CPPUNIT_TEST(exemptsUrgentRequests);
  CPPUNIT_TEST(sendsAllWhileOneTargetIsBusy);
  CPPUNIT_TEST(callersThatRepeatAtOnceGainNothing);
  CPPUNIT_TEST(refusesEarlyRepeatsOnlyWhileRoomIsShort);
  CPPUNIT_TEST(spreadsRetryAfter);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that cross links only to be refused.
  void keepsRefusedRequestsOffTheLinks() {
    ThrottledService Service(20, milliseconds(5), milliseconds(200));
    Service.run(2000, 400, seconds(10));
    auto Steady = Service.total(40, 100);
    // Up to twice the capacity is sent, so that all of it is used, and the
    // requests that each node sends to notice room.
    CPPUNIT_ASSERT(Steady.Sent <= 6 * 1000);
    CPPUNIT_ASSERT(Steady.Accepted >= 6 * 390);
    // With room for all, nothing is refused.
    ThrottledService Idle(20, milliseconds(5), milliseconds(200));
    Idle.run(2000, 2100, seconds(5));
    CPPUNIT_ASSERT_EQUAL(Idle.total(0, 50).Offered, Idle.total(0, 50).Sent);
  }

  // Guards against entry nodes that stop and start sending together, since each
  // learns of refusals a second late, and against a few nodes that get all the
  // capacity.
  void staysSteadyWithOutdatedViews() {
    ThrottledService Service(20, seconds(1), milliseconds(1200));
    Service.run(2000, 400, seconds(30));
    for (std::size_t Step = 60; Step < 300; Step += 5) {
      auto Half = Service.total(Step, Step + 5);
      CPPUNIT_ASSERT(Half.Accepted >= 180);
      CPPUNIT_ASSERT(Half.Sent <= 600);
    }
    auto [Least, Most] = std::ranges::minmax(Service.AcceptedByNode);
    CPPUNIT_ASSERT(Least * 2 >= Most);
  }

  // Guards against a service that stays throttled after its room is back: the
  // window alone holds requests back for several seconds.
  void sendsAllOnceThereIsRoom() {
    for (double Rate : {80.0, 2000.0}) {
      ThrottledService Service(20, milliseconds(5), milliseconds(200));
      Service.run(Rate, 0, seconds(10));
      Service.run(Rate, 3000, seconds(5));
      auto Second = Service.total(115, 125);
      CPPUNIT_ASSERT(Second.Sent * 100 >= Second.Offered * 95);
      auto Later = Service.total(130, 150);
      CPPUNIT_ASSERT_EQUAL(Later.Offered, Later.Sent);
    }
  }

  // Guards against urgent requests that pay for those of other priorities.
  void exemptsUrgentRequests() {
    AdaptiveThrottle Urgent(0.9);
    AdaptiveThrottle Usual;
    Instant Now{std::int64_t{1'000'000}};
    for (AdaptiveThrottle *Throttle : {&Urgent, &Usual})
      for (int Sent = 0; Sent < 12; ++Sent) {
        Throttle->noteSent(Now);
        if (Sent >= 2)
          Throttle->noteRefused(Now, Duration(0), Now);
      }
    CPPUNIT_ASSERT(Usual.refusalProbability(Now) > 0.6);
    CPPUNIT_ASSERT(Usual.shouldRefuse(0.5, Now));
    CPPUNIT_ASSERT(!Urgent.shouldRefuse(0, Now));
    for (int Sent = 0; Sent < 100; ++Sent) {
      Urgent.noteSent(Now);
      Urgent.noteRefused(Now, Duration(0), Now);
    }
    CPPUNIT_ASSERT(Urgent.shouldRefuse(0.5, Now));
    // The window ends.
    CPPUNIT_ASSERT(!Urgent.isShort(Now + milliseconds(2100)));
  }

  // Guards against throttling a service with idle targets, since another one
  // refuses whatever comes.
  void sendsAllWhileOneTargetIsBusy() {
    Fixture F;
    for (std::uint64_t Caller = 1; Caller <= 60; ++Caller) {
      F.sendRequest(Caller, "/read/" + std::to_string(Caller));
      CPPUNIT_ASSERT(F.sent());
      std::string To;
      while (F.sent(&To))
        F.receiveResult(To, To == NearNode ? Outcome::Busy : Outcome::Answered,
                        200);
      CPPUNIT_ASSERT_EQUAL(200, F.status());
      F.advance(milliseconds(20));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, F.Entry.throttledRequests());
  }

  // Guards against callers that get three times the share of others by sending
  // a refused request again at once.
  void callersThatRepeatAtOnceGainNothing() {
    Fixture F;
    double Room = 0;
    int Served[2] = {0, 0};
    for (int Step = 0; Step < 4000; ++Step) {
      F.advance(milliseconds(10));
      // 40 requests/s can run; 100 callers/s come, every second one of which
      // repeats twice.
      Room = std::min(Room + 0.4, 2.0);
      bool Repeats = Step % 2 == 1;
      for (int Try = 0; Try < (Repeats ? 3 : 1); ++Try) {
        bool HasRoom = Room >= 1;
        F.request("/read/" + std::to_string(Step), HasRoom);
        if (F.status() != 200)
          continue;
        Room -= 1;
        ++Served[Repeats ? 1 : 0];
        break;
      }
    }
    CPPUNIT_ASSERT(F.Entry.earlyRepeats() > 0);
    CPPUNIT_ASSERT(Served[0] + Served[1] >= 1400);
    CPPUNIT_ASSERT(Served[1] * 100 <= Served[0] * 125);
  }

  // Guards against refusing a caller that comes back after room has returned,
  // and against a table that grows without bound.
  void refusesEarlyRepeatsOnlyWhileRoomIsShort() {
    Fixture F;
    for (int Sent = 0; Sent < 20; ++Sent)
      F.request("/read/other" + std::to_string(Sent), true);
    F.request("/read/x", false);
    CPPUNIT_ASSERT_EQUAL(503, F.status());
    Duration Stated = F.retryAfter();
    F.advance(milliseconds(100));
    F.request("/read/x", true);
    CPPUNIT_ASSERT_EQUAL(503, F.status());
    CPPUNIT_ASSERT(F.retryAfter() <= Stated - milliseconds(99));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, F.Entry.earlyRepeats());
    F.request("/read/y", true);
    CPPUNIT_ASSERT_EQUAL(200, F.status());
    F.advance(milliseconds(160));
    F.request("/read/x", true);
    CPPUNIT_ASSERT_EQUAL(200, F.status());
    // A refused key does not hold back others.
    F.sendRequest(900, "/keyed/x", 7);
    F.receiveResult(NearNode, Outcome::Busy);
    CPPUNIT_ASSERT_EQUAL(503, F.status());
    F.sendRequest(901, "/keyed/x", 8);
    CPPUNIT_ASSERT(F.sent());
    F.sendRequest(902, "/keyed/x", 7);
    CPPUNIT_ASSERT_EQUAL(503, F.status());
    RefusedRequests Table;
    for (std::uint64_t Hash = 0; Hash < 5000; ++Hash)
      Table.add(Hash, F.Now + seconds(1), F.Now);
    CPPUNIT_ASSERT(!Table.find(903, F.Now) && Table.find(904, F.Now));
  }

  // Guards against callers that were refused together and return together.
  void spreadsRetryAfter() {
    std::set<Duration> Stated;
    for (std::uint64_t Caller = 1; Caller <= 50; ++Caller) {
      Fixture F;
      F.LastCaller = Caller;
      F.request("/read/x", false);
      Stated.insert(F.retryAfter());
    }
    CPPUNIT_ASSERT(*Stated.begin() >= milliseconds(1000));
    CPPUNIT_ASSERT(*Stated.rbegin() <= milliseconds(1500));
    CPPUNIT_ASSERT(*Stated.rbegin() - *Stated.begin() >= milliseconds(400));
    CPPUNIT_ASSERT(Stated.size() >= 40);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryThrottleTest);

} // namespace
} // namespace orioledoor::routing
