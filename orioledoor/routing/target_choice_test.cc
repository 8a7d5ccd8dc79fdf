// Tests of the choice of a target by a fleet of entry nodes in virtual time,
// and of its inputs.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <ranges>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "orioledoor/routing/testing/entry_fixture.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RequestClassId Class = 1;
constexpr Duration Latency = milliseconds(400);
constexpr Duration Work = milliseconds(50);

// Entry nodes and targets, one of each in each of 6 failure domains and 3
// regions. A target has 4 slots of 50 ms (80 requests/s). As at a gate, a
// request that would be late is refused.
class SmallFleet {
public:
  SmallFleet() : Ends(6) {
    for (std::size_t I = 0; I < 6; ++I)
      this->Entries.push_back(std::make_unique<TargetDirectory>(
          placeOf(I), "e" + std::to_string(I), seconds(2), I + 1));
    for (std::size_t Target = 0; Target < 6; ++Target)
      this->announce(Target, TargetState::Ready);
  }

  static Location placeOf(std::size_t I) {
    return {"d" + std::to_string(I), "r" + std::to_string(I / 2)};
  }
  static std::string nodeOf(std::size_t I) { return "t" + std::to_string(I); }

  void announce(std::size_t Target, TargetState State) {
    for (const auto &Entry : this->Entries) {
      Entry->setNode(nodeOf(Target), placeOf(Target));
      Entry->update(this->statusOf(Target, State), this->Now);
    }
  }

  // Sends requests at the given rates per entry node.
  void run(Duration Time, std::vector<double> Rates) {
    std::vector<double> Due(Rates.size());
    for (Instant End = this->Now + Time; this->Now < End;) {
      this->Now = this->Now + milliseconds(1);
      this->deliverResults();
      for (std::size_t Entry = 0; Entry < Rates.size(); ++Entry)
        for (Due[Entry] += Rates[Entry] / 1000; Due[Entry] >= 1; --Due[Entry])
          this->request(Entry);
    }
  }

  double share(int Count) const {
    return static_cast<double>(Count) / static_cast<double>(this->Sent);
  }

  int Sent = 0;
  int Refused = 0;
  int Late = 0;
  int LeftRegion = 0;

private:
  struct Result {
    Instant At;
    std::size_t Entry = 0;
    std::size_t Target = 0;

    friend bool operator>(const Result &Left, const Result &Right) {
      return Left.At > Right.At;
    }
  };

  TargetStatus statusOf(std::size_t Target, TargetState State) {
    std::multiset<Instant> &Open = this->Ends[Target];
    Open.erase(Open.begin(), Open.upper_bound(this->Now));
    auto Count = static_cast<std::uint32_t>(Open.size());
    return {.Process = 1,
            .Sequence = ++this->Sequence,
            .Target = {"i", 1, nodeOf(Target)},
            .Service = "plain",
            .State = State,
            .Slots = 4,
            .Running = std::min(Count, 4U),
            .Queued = Count - std::min(Count, 4U),
            .ServiceTime = Work,
            .Times = {{Class, Work}}};
  }

  void deliverResults() {
    while (!this->Results.empty() && this->Results.top().At <= this->Now) {
      Result Done = this->Results.top();
      this->Results.pop();
      this->Entries[Done.Entry]->noteEnded(nodeOf(Done.Target));
      this->Entries[Done.Entry]->update(
          this->statusOf(Done.Target, TargetState::Ready), this->Now);
    }
  }

  void request(std::size_t Entry) {
    ++this->Sent;
    std::vector<std::string> Tried;
    TargetDirectory &Directory = *this->Entries[Entry];
    while (Tried.size() < 3) {
      TargetChoice Choice =
          Directory.choose({.Service = "plain",
                            .RequestClass = Class,
                            .AnswerBytes = 2048,
                            .TargetLatency = Latency,
                            .Refusals = static_cast<int>(Tried.size()),
                            .Excluded = Tried},
                           this->Now);
      if (!Choice.Node)
        break;
      std::size_t Target = Choice.Node->back() - '0';
      TargetStatus Status = this->statusOf(Target, TargetState::Ready);
      std::multiset<Instant> &Open = this->Ends[Target];
      Instant Start = Open.size() < 4 ? this->Now : *std::prev(Open.end(), 4);
      Duration Allowed = Latency - 2 * Work;
      if (Tried.size() < 2)
        Allowed = std::min(Allowed, Choice.CostGapToNext);
      if (Start - this->Now > Allowed) {
        Directory.update(Status, this->Now);
        Directory.noteBusy(*Choice.Node, Class, seconds(1), this->Now);
        Tried.push_back(*Choice.Node);
        continue;
      }
      Directory.noteSent(*Choice.Node);
      Open.insert(Start + Work);
      this->Results.push({Start + Work, Entry, Target});
      this->LeftRegion += Target / 2 != Entry / 2;
      this->Late += Start + Work - this->Now > Latency;
      return;
    }
    ++this->Refused;
  }

  Instant Now{std::int64_t{1'000'000}};
  std::vector<std::unique_ptr<TargetDirectory>> Entries;
  // By target: when its open requests end.
  std::vector<std::multiset<Instant>> Ends;
  std::priority_queue<Result, std::vector<Result>, std::greater<>> Results;
  std::uint64_t Sequence = 0;
};

// A target of class Class with this service time and load.
TargetStatus statusOf(const std::string &Node, std::uint32_t Running,
                      std::uint64_t Sequence = 1) {
  return {.Process = 1,
          .Sequence = Sequence,
          .Target = {"i", 1, Node},
          .Service = "plain",
          .State = TargetState::Ready,
          .Slots = 10,
          .Running = Running,
          .ServiceTime = milliseconds(100),
          .Times = {{Class, milliseconds(100)}}};
}

class TargetChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetChoiceTest);
  CPPUNIT_TEST(balancesASmallFleetWithinItsRegions);
  CPPUNIT_TEST(balancesASmallFleetAcrossRegions);
  CPPUNIT_TEST(servesARegionWithoutTargets);
  CPPUNIT_TEST(spreadsRequestsOfOneView);
  CPPUNIT_TEST(skipsBusyTargets);
  CPPUNIT_TEST(leavesAfterRefusals);
  CPPUNIT_TEST(logsTheStartAndTheEndOfASpill);
  CPPUNIT_TEST(countsTheTransferOfAnswers);
  CPPUNIT_TEST(measuresTheSizeOfAnswers);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that wait for the only target of their failure
  // domain while the other target of the region is idle.
  void balancesASmallFleetWithinItsRegions() {
    SmallFleet Fleet;
    Fleet.run(seconds(20), {110, 30, 30, 30, 30, 30});
    CPPUNIT_ASSERT_EQUAL(0, Fleet.Refused);
    CPPUNIT_ASSERT_EQUAL(0, Fleet.Late);
    CPPUNIT_ASSERT_EQUAL(0, Fleet.LeftRegion);
  }

  // Guards against requests that are refused by the busy targets of a region
  // while other regions have room. A third of the requests of the first region
  // have to leave it, which is 0.22 of all.
  void balancesASmallFleetAcrossRegions() {
    SmallFleet Fleet;
    Fleet.run(seconds(30), {120, 120, 30, 30, 30, 30});
    CPPUNIT_ASSERT_EQUAL(0, Fleet.Refused);
    CPPUNIT_ASSERT(Fleet.share(Fleet.Late) <= 0.01);
    CPPUNIT_ASSERT(Fleet.share(Fleet.LeftRegion) <= 0.27);
    // All targets are near their capacity.
    SmallFleet Full;
    Full.run(seconds(30), {140, 140, 40, 40, 40, 40});
    CPPUNIT_ASSERT_EQUAL(0, Full.Refused);
  }

  // Guards against requests that are refused since their region has no targets.
  void servesARegionWithoutTargets() {
    SmallFleet Fleet;
    Fleet.announce(0, TargetState::Leaving);
    Fleet.announce(1, TargetState::Leaving);
    Fleet.run(seconds(10), {60, 60, 40, 40, 40, 40});
    CPPUNIT_ASSERT_EQUAL(0, Fleet.Refused);
    CPPUNIT_ASSERT_EQUAL(0, Fleet.Late);
  }

  // Guards against entry nodes that all send to the target with the lowest load
  // in views that are a second old.
  void spreadsRequestsOfOneView() {
    std::map<std::string, int> Chosen;
    for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
      TargetDirectory Directory({"d1", "r1"}, "own", seconds(2), Seed);
      Instant Now{std::int64_t{1'000'000}};
      for (std::uint32_t I = 0; I < 24; ++I) {
        std::string Node = "n" + std::to_string(I);
        Directory.setNode(Node, {"d1", "r1"});
        Directory.update(statusOf(Node, 2 + I / 4), Now);
      }
      ++Chosen[*Directory
                    .choose({.Service = "plain",
                             .RequestClass = Class,
                             .TargetLatency = Latency},
                            Now)
                    .Node];
    }
    int Most = std::ranges::max(Chosen | std::views::values);
    CPPUNIT_ASSERT(Most <= 20 && Chosen.size() >= 8);
  }

  // Guards against requests that go to a target which has just refused one of
  // the same class, and against one that is skipped for too long, for other
  // classes, or although there is no other.
  void skipsBusyTargets() {
    TargetDirectory Directory({"d1", "r1"}, "own");
    Instant Now{std::int64_t{1'000'000}};
    for (const char *Node : {"a", "b"})
      Directory.setNode(Node, {"d1", "r1"});
    Directory.update(statusOf("a", 1), Now);
    Directory.update(statusOf("b", 5), Now);
    auto Choose = [&](RequestClassId RequestClass = Class) {
      return *Directory
                  .choose({.Service = "plain", .RequestClass = RequestClass},
                          Now)
                  .Node;
    };
    Directory.noteBusy("a", Class, seconds(1), Now);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Choose());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Choose(Class + 1));
    Directory.noteBusy("b", Class, seconds(1), Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Choose());
    Now = Now + milliseconds(250);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Choose());
  }

  // Guards against requests that are refused, since only near targets are asked
  // although they refuse, and against requests that leave without a refusal
  // although their answer would be in time.
  void leavesAfterRefusals() {
    TargetDirectory Directory({"d1", "r1"}, "own");
    Instant Now{std::int64_t{1'000'000}};
    for (const auto &[Node, Place, Running] :
         {std::tuple("near1", Location{"d1", "r1"}, 12U),
          std::tuple("near2", Location{"d1", "r1"}, 12U),
          std::tuple("region", Location{"d2", "r1"}, 9U),
          std::tuple("other", Location{"d3", "r2"}, 0U)}) {
      Directory.setNode(Node, Place);
      Directory.update(statusOf(Node, Running), Now);
    }
    std::vector<std::string> Tried;
    auto Choose = [&](int Refusals) {
      return *Directory
                  .choose({.Service = "plain",
                           .RequestClass = Class,
                           .TargetLatency = Latency,
                           .Refusals = Refusals,
                           .Excluded = Tried},
                          Now)
                  .Node;
    };
    CPPUNIT_ASSERT(Choose(0).starts_with("near"));
    Tried = {"near1"};
    CPPUNIT_ASSERT_EQUAL(std::string("near2"), Choose(0));
    CPPUNIT_ASSERT_EQUAL(std::string("region"), Choose(1));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), Choose(2));
    // The next request knows that all targets of the region refuse.
    Tried.clear();
    for (const char *Node : {"near1", "near2"})
      Directory.noteBusy(Node, Class, seconds(1), Now);
    CPPUNIT_ASSERT_EQUAL(std::string("region"), Choose(0));
    Directory.noteBusy("region", Class, seconds(1), Now);
    CPPUNIT_ASSERT_EQUAL(std::string("other"), Choose(0));
  }

  // Guards against shares that change unseen, and against a log line for each
  // step of a share.
  void logsTheStartAndTheEndOfASpill() {
    testing::EntryFixture F;
    std::vector<int> Numbers;
    std::uint64_t Caller = 0;
    for (std::uint32_t Running : {12U, 0U})
      for (int I = 0; I < 20; ++I) {
        F.advance(milliseconds(300));
        TargetStatus Near = F.Directory.find(testing::NearNode)->Status;
        ++Near.Sequence;
        Near.Running = Running;
        F.Directory.update(Near, F.Now);
        F.sendRequest(++Caller, "/read/x");
        for (const Effect &Output : F.Out)
          if (const auto *Line = std::get_if<LogRecord>(&Output);
              Line && Line->Event->Number / 10 == 225)
            Numbers.push_back(Line->Event->Number);
      }
    // The region has no other target, so only the share that leaves it
    // changes.
    CPPUNIT_ASSERT((Numbers == std::vector{2250, 2251}));
    CPPUNIT_ASSERT(F.Directory.spillCounters().Steps > 2);
  }

  // Guards against targets whose links are full of answers that look idle: at
  // 1.25 MB/s an answer of 90 KB takes 72 ms.
  void countsTheTransferOfAnswers() {
    TargetDirectory Directory({"d1", "r1"}, "own");
    Instant Now{std::int64_t{1'000'000}};
    for (const char *Node : {"narrow", "other"}) {
      Directory.setNode(Node, {"d1", "r1"}, 1'250'000);
      Directory.update(statusOf(Node, 3), Now);
    }
    ChoiceInput Input{.Service = "plain",
                      .RequestClass = Class,
                      .AnswerBytes = 90'000,
                      .TargetLatency = Latency};
    auto CostOf = [&](const char *Node) {
      return Directory.costOf(Node, *Directory.find(Node), Input, Now);
    };
    Duration Idle = CostOf("narrow");
    CPPUNIT_ASSERT(Idle >= milliseconds(100 + 72));
    TargetStatus Loaded = statusOf("narrow", 3, 2);
    Loaded.AnswerQueuedBytes = 180'000;
    Directory.update(Loaded, Now);
    // Two answers leave within 144 ms, of which the work takes 100 ms.
    CPPUNIT_ASSERT(CostOf("narrow") == Idle + milliseconds(44));
    Loaded = statusOf("narrow", 3, 3);
    Loaded.AnswerQueuedBytes = 360'000;
    Directory.update(Loaded, Now);
    CPPUNIT_ASSERT(CostOf("narrow") == Idle + milliseconds(288 - 100));
    // A small answer waits for no more than what the transport has already.
    Input.AnswerBytes = 2000;
    CPPUNIT_ASSERT(CostOf("narrow") < Idle + milliseconds(80 - 70));
    Input.AnswerBytes = 90'000;
    // What was sent there since counts as well.
    for (int I = 0; I < 2; ++I)
      Directory.noteSent("other", 90'000);
    CPPUNIT_ASSERT(CostOf("other") >= Idle + milliseconds(44));
    CPPUNIT_ASSERT_EQUAL(std::string("other"),
                         *Directory.choose(Input, Now).Node);
  }

  // Guards against answers of 90 KB that count as 2 KB: they would leave their
  // domain for a target that answers later.
  void measuresTheSizeOfAnswers() {
    AnswerSizes Sizes;
    CPPUNIT_ASSERT_EQUAL(ExpectedAnswerBytes,
                         Sizes.meanOf(Class, ExpectedAnswerBytes));
    Sizes.note(Class, 90'000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{90'000}, Sizes.meanOf(Class));
    for (int I = 0; I < 100; ++I)
      Sizes.note(Class, 10'000);
    CPPUNIT_ASSERT(Sizes.meanOf(Class) < 11'000);
    CPPUNIT_ASSERT_EQUAL(ExpectedAnswerBytes,
                         Sizes.meanOf(Class + 1, ExpectedAnswerBytes));
    // The entry node measures the answers: an idle target with a narrow link is
    // the better one for small answers, a half-loaded one for large answers.
    testing::EntryFixture F;
    std::string Wide = std::string(testing::NearNode) + "b";
    F.addTarget(Wide, {"d1", "r1"});
    F.setLink(testing::NearNode, 1'250'000);
    F.setLink(Wide, 25'000'000);
    TargetStatus Loaded = F.Directory.find(Wide)->Status;
    Loaded.Running = 2;
    F.Directory.update(Loaded, F.Now);
    ForwardResult Large{.Code = Outcome::Answered};
    Large.Answer.Status = 200;
    Large.Answer.Body = std::string(90'000, 'x');
    std::string To;
    F.sendRequest(1, "/read/x");
    Large.Id = F.sent(&To)->Id;
    CPPUNIT_ASSERT_EQUAL(std::string(testing::NearNode), To);
    F.Entry.handleResult(To, Large, F.Now, F.Out);
    F.sendRequest(2, "/read/x");
    F.sent(&To);
    CPPUNIT_ASSERT_EQUAL(Wide, To);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetChoiceTest);

} // namespace
} // namespace orioledoor::routing
