// Tests the decisions on key ownership: the key map, grants and transfers at
// one target, planning and load balancing.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "orioledoor/keyspace/grant_authority.h"
#include "orioledoor/keyspace/key_balance.h"
#include "orioledoor/keyspace/key_grantor.h"
#include "orioledoor/keyspace/key_load_meter.h"
#include "orioledoor/keyspace/key_map_change.h"
#include "orioledoor/keyspace/key_planner.h"

namespace orioledoor::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TargetRef target(int Index, std::int64_t Born = 1) {
  return {"i-" + std::to_string(Index), Born,
          "tcp://10.0.0." + std::to_string(Index) + ":7100"};
}

PlannerNode makeNode(int Index, std::int64_t Born = 1) {
  return {.Node = target(Index).Node,
          .EntryRevision = 10 + Index,
          .Target = target(Index, Born),
          .Service = "s",
          .Ready = true,
          .Slots = 10};
}

// Two targets with half of the keys each.
KeyMap makeTwoOwnerMap() {
  KeyMap Map;
  Map.Service = "s";
  Map.LastFence = 2;
  Map.Rows = {{{0, 32767}, target(1), 1, "", {}},
              {{32768, LastKey}, target(2), 2, "", {}}};
  return Map;
}

class KeyspaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyspaceTest);
  CPPUNIT_TEST(keyMapRoundTripsThroughJson);
  CPPUNIT_TEST(keyMapSplitsAndMergesRows);
  CPPUNIT_TEST(changesTurnOneMapIntoTheNext);
  CPPUNIT_TEST(changesOfOtherMapsAreRefused);
  CPPUNIT_TEST(holdEndsBeforeAuthority);
  CPPUNIT_TEST(transfersOnlyReleasedKeys);
  CPPUNIT_TEST(keepsMovingKeysUntilEarlierHoldsHaveEnded);
  CPPUNIT_TEST(drainingTargetsGiveKeysUpBeforeTheyPassOn);
  CPPUNIT_TEST(grantsNothingToLostTarget);
  CPPUNIT_TEST(authorityRequiresReadKeyMaps);
  CPPUNIT_TEST(plansInitialOwnersOnceTargetsAreStable);
  CPPUNIT_TEST(replacesLostOwnerAfterItsHoldsEnded);
  CPPUNIT_TEST(survivorsGetFewRows);
  CPPUNIT_TEST(answersGrantWhatFits);
  CPPUNIT_TEST(removesLostMarkOfReturnedOwner);
  CPPUNIT_TEST(replacesRestartedTargetImmediately);
  CPPUNIT_TEST(ignoresEntriesOfEarlierProcess);
  CPPUNIT_TEST(movesKeysOfLeavingTargets);
  CPPUNIT_TEST(movesKeysToNewTargets);
  CPPUNIT_TEST(distributesHotKeys);
  CPPUNIT_TEST(keepsBalancedLoad);
  CPPUNIT_TEST(loadMeterFindsHotKeys);
  CPPUNIT_TEST_SUITE_END();

public:
  void keyMapRoundTripsThroughJson() {
    KeyMap Map = makeTwoOwnerMap();
    Map.Rows[0].Next = target(2);
    Map.Rows[1].Handover = "5c0e";
    Map.Lost = {{target(2), 4}};
    Map.LastMark = 4;
    auto Decoded = decodeKeyMap(encodeKeyMap(Map));
    CPPUNIT_ASSERT(Decoded.ok() && *Decoded == Map);
    CPPUNIT_ASSERT(!decodeKeyMap("{}").ok());
    CPPUNIT_ASSERT(!decodeKeyMap("[1").ok());
    CPPUNIT_ASSERT(Map.find(32768)->Owner == target(2));
    CPPUNIT_ASSERT(Map.find(0)->Owner == target(1));
  }

  void keyMapSplitsAndMergesRows() {
    KeyMap Map = makeTwoOwnerMap();
    Map.splitRowsAt({100, 199});
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Map.Rows.size());
    CPPUNIT_ASSERT(Map.find(150)->Keys == (KeyRange{100, 199}));
    Map.mergeAdjacentRows();
    CPPUNIT_ASSERT(Map == makeTwoOwnerMap());
  }

  // A hold must end before the authority of the node does, even on a clock that
  // runs 2% slow.
  // Guards against nodes whose key maps drift apart: splits, moves, transfers
  // and merges of random ranges.
  void changesTurnOneMapIntoTheNext() {
    std::minstd_rand Random(3);
    KeyMap Map = makeTwoOwnerMap();
    for (int Round = 0; Round < 500; ++Round) {
      KeyMap Next = Map;
      auto From = static_cast<std::uint32_t>(Random() % (LastKey + 1));
      KeyRange Keys{
          From,
          std::min<std::uint32_t>(
              From + static_cast<std::uint32_t>(Random() % 9000), LastKey)};
      Next.splitRowsAt(Keys);
      for (KeyRow &Row : Next.Rows)
        if (Row.Keys.overlaps(Keys)) {
          if (Round % 3 == 0)
            Row.Next = target(1 + Round % 7);
          else
            Row = {.Keys = Row.Keys,
                   .Owner = target(1 + Round % 5),
                   .Fence = ++Next.LastFence};
        }
      if (Round % 11 == 0)
        Next.Lost = {{target(1 + Round % 5), ++Next.LastMark}};
      Next.mergeAdjacentRows();
      KeyMap Change = changeBetween(Map, Next);
      CPPUNIT_ASSERT(Change.Rows.size() <= Next.Rows.size());
      auto Applied =
          applyChange(Map, *decodeKeyMap(encodeKeyMap(Change)), checksum(Next));
      CPPUNIT_ASSERT(Applied && *Applied == Next);
      Map = std::move(Next);
    }
  }

  void changesOfOtherMapsAreRefused() {
    KeyMap Map = makeTwoOwnerMap();
    KeyMap Next = Map;
    Next.Rows[0].Next = target(3);
    KeyMap Other = Map;
    Other.Rows[1].Fence = 7;
    KeyMap Change = changeBetween(Map, Next);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Change.Rows.size());
    CPPUNIT_ASSERT(applyChange(Map, Change, checksum(Next)));
    CPPUNIT_ASSERT(!applyChange(Other, Change, checksum(Next)));
  }

  void holdEndsBeforeAuthority() {
    KeyGrantor Grantor({});
    Instant Now{std::int64_t{10'000'000}};
    KeyMap Map = makeTwoOwnerMap();
    routing::TargetReport Report;
    GrantDecision Decision =
        Grantor.answerReport(Report, target(1), &Map, Now + seconds(3), Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Decision.Answer.Grants.size());
    CPPUNIT_ASSERT(Decision.Answer.HoldTime * 102 / 100 < seconds(3));
    CPPUNIT_ASSERT(Grantor.holds(5, Now) && !Grantor.holds(40000, Now));
    CPPUNIT_ASSERT(!Grantor.holds(5, Now + seconds(3)));
    Decision = Grantor.answerReport(Report, target(1), &Map,
                                    Now + milliseconds(50), Now);
    CPPUNIT_ASSERT(Decision.Answer.HoldTime.count() == 0);
    // The end of the earlier, longer hold still counts.
    CPPUNIT_ASSERT(Grantor.holdsEnd() > Now + seconds(2));
  }

  void transfersOnlyReleasedKeys() {
    KeyGrantor Grantor({});
    Instant Now{std::int64_t{10'000'000}};
    Instant End = Now + seconds(60);
    KeyMap Map = makeTwoOwnerMap();
    routing::TargetReport Report;
    Grantor.answerReport(Report, target(1), &Map, End, Now);
    Map.Rows[0].Next = target(2);
    Report.Holds = {{{0, 32767}, 1}};
    GrantDecision Decision =
        Grantor.answerReport(Report, target(1), &Map, End, Now);
    CPPUNIT_ASSERT(Decision.Transfers.empty());
    CPPUNIT_ASSERT(Decision.Answer.Grants.empty());
    CPPUNIT_ASSERT(Decision.Answer.HoldTime > seconds(1));
    // Some of the released keys are still in use.
    Report.Holds = {{{100, 200}, 1}};
    Report.Released = {{{0, 99}, "a"}};
    Decision = Grantor.answerReport(Report, target(1), &Map, End, Now);
    CPPUNIT_ASSERT(Decision.Transfers.empty());
    Report.Holds.clear();
    Report.Released = {{{100, 32767}, "b"}};
    Decision = Grantor.answerReport(Report, target(1), &Map, End, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Decision.Transfers.size());
    CPPUNIT_ASSERT(Decision.Transfers[0].Keys == (KeyRange{0, 99}));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Decision.Transfers[0].Handover);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Decision.Transfers[1].Handover);
  }

  // Guards against keys that pass on after a restart of the node by the word of
  // a report that its target made before it got them: two targets held them.
  void keepsMovingKeysUntilEarlierHoldsHaveEnded() {
    KeyGrantor Grantor({});
    Instant Now{std::int64_t{10'000'000}};
    Instant End = Now + seconds(60);
    KeyMap Map = makeTwoOwnerMap();
    Map.Rows[0].Next = target(2);
    Grantor.noteStart(Now);
    // The first report of a target always looks like that of a new process.
    Grantor.reset();
    // A hold of 5 s on a clock that runs 2% slow.
    Instant HoldsEnd = Now + milliseconds(5130);
    for (; Now < HoldsEnd; Now = Now + milliseconds(90)) {
      GrantDecision Decision =
          Grantor.answerReport({}, target(1), &Map, End, Now);
      CPPUNIT_ASSERT(Decision.Transfers.empty());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{32768}, Decision.RetainedKeys);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Decision.Answer.Grants.size());
    }
    // The next answer takes the keys away, and the report after it shows that
    // the target has given them up.
    routing::TargetReport Report;
    Report.Holds = {{{0, 32767}, 1}};
    GrantDecision Decision =
        Grantor.answerReport(Report, target(1), &Map, End, Now);
    CPPUNIT_ASSERT(Decision.Transfers.empty());
    CPPUNIT_ASSERT(Decision.Answer.Grants.empty());
    Decision = Grantor.answerReport({}, target(1), &Map, End, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Decision.Transfers.size());
  }

  // Guards against a departure that takes a report longer than the wait.
  void drainingTargetsGiveKeysUpBeforeTheyPassOn() {
    KeyGrantor Grantor({});
    Instant Now{std::int64_t{10'000'000}};
    Instant End = Now + seconds(60);
    KeyMap Map = makeTwoOwnerMap();
    Map.Rows[0].Next = target(2);
    Grantor.noteStart(Now);
    routing::TargetReport Report;
    Report.Draining = true;
    GrantDecision Decision =
        Grantor.answerReport(Report, target(1), &Map, End, Now);
    CPPUNIT_ASSERT(Decision.Transfers.empty());
    CPPUNIT_ASSERT(Decision.Answer.Grants.empty());
    Now = Now + milliseconds(5130);
    Decision = Grantor.answerReport(Report, target(1), &Map, End, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Decision.Transfers.size());
  }

  void grantsNothingToLostTarget() {
    KeyGrantor Grantor({});
    Instant Now{std::int64_t{10'000'000}};
    KeyMap Map = makeTwoOwnerMap();
    Map.Lost = {{target(1), 1}};
    GrantDecision Decision =
        Grantor.answerReport({}, target(1), &Map, Now + seconds(60), Now);
    CPPUNIT_ASSERT(Decision.Answer.HoldTime.count() == 0);
  }

  void authorityRequiresReadKeyMaps() {
    GrantAuthority Authority(seconds(8));
    Instant Start{std::int64_t{10'000'000}};
    Authority.onEntryWritten(Start);
    Authority.onLeaseRenewed(Start + seconds(1));
    CPPUNIT_ASSERT(Authority.expiresAt() == Instant());
    Authority.onKeyMapsRead();
    CPPUNIT_ASSERT(Authority.expiresAt() == Start + seconds(9));
    Authority.onEntryLost();
    Authority.onEntryWritten(Start + seconds(5));
    // No authority is gained until the key maps were read again.
    Authority.onLeaseRenewed(Start + seconds(6));
    CPPUNIT_ASSERT(Authority.expiresAt() == Start + seconds(9));
  }

  void plansInitialOwnersOnceTargetsAreStable() {
    KeyPlanner Planner("s", {});
    Instant Now{std::int64_t{10'000'000}};
    std::vector<PlannerNode> Nodes = {makeNode(1)};
    CPPUNIT_ASSERT(!Planner.plan(nullptr, Nodes, true, Now));
    Nodes.push_back(makeNode(2));
    CPPUNIT_ASSERT(!Planner.plan(nullptr, Nodes, true, Now + seconds(1)));
    CPPUNIT_ASSERT(!Planner.plan(nullptr, Nodes, false, Now + seconds(4)));
    auto Plan = Planner.plan(nullptr, Nodes, true, Now + seconds(4));
    CPPUNIT_ASSERT(Plan && Plan->Map.Rows.size() == 2);
    CPPUNIT_ASSERT(Plan->Map.Rows[0].Keys.From == 0);
    CPPUNIT_ASSERT(Plan->Map.Rows[1].Keys.To == LastKey);
    CPPUNIT_ASSERT(Plan->Map.Rows[0].Fence != Plan->Map.Rows[1].Fence);
  }

  void replacesLostOwnerAfterItsHoldsEnded() {
    KeyPlanner Planner("s", {});
    Instant Now{std::int64_t{10'000'000}};
    KeyMap Map = makeTwoOwnerMap();
    std::vector<PlannerNode> Nodes = {makeNode(2)};
    CPPUNIT_ASSERT(!Planner.plan(&Map, Nodes, true, Now));
    Now = Now + seconds(3);
    auto Marked = Planner.plan(&Map, Nodes, true, Now);
    CPPUNIT_ASSERT(Marked && Marked->Map.findLost(target(1)));
    CPPUNIT_ASSERT(Marked->Conditions ==
                   (std::vector<EntryCondition>{
                       {KeyPlanner::nodeEntryKey(target(1).Node), 0}}));
    CPPUNIT_ASSERT(Marked->Map.find(0)->Owner == target(1));
    // The first plan was not written; the wait starts when the recorded mark is
    // first seen.
    Now = Now + seconds(20);
    CPPUNIT_ASSERT(!Planner.plan(&Marked->Map, Nodes, true, Now));
    CPPUNIT_ASSERT(
        !Planner.plan(&Marked->Map, Nodes, true, Now + milliseconds(8400)));
    auto Replaced =
        Planner.plan(&Marked->Map, Nodes, true, Now + milliseconds(8500));
    CPPUNIT_ASSERT(Replaced && Replaced->Map.find(0)->Owner == target(2));
    CPPUNIT_ASSERT(Replaced->Map.find(0)->Fence > 2);
  }

  // Guards against a target that is left with hundreds of rows, whose answers
  // to reports exceed what the platform accepts, so that no key is served
  // again.
  void survivorsGetFewRows() {
    constexpr int Targets = 8;
    constexpr std::uint32_t Rows = 320;
    constexpr std::size_t MaxRows = 70;
    for (int Survivors : {1, 2, 3}) {
      KeyMap Map;
      Map.Service = "s";
      Map.LastFence = Rows;
      constexpr std::uint32_t KeysPerRow = (LastKey + 1) / Rows;
      for (std::uint32_t Row = 0; Row < Rows; ++Row)
        Map.Rows.push_back(
            {{Row * KeysPerRow,
              Row + 1 == Rows ? LastKey : (Row + 1) * KeysPerRow - 1},
             target(1 + static_cast<int>(Row % Targets)),
             Row + 1,
             "",
             {}});
      // All targets ended, and a few came back as new processes.
      std::vector<PlannerNode> Nodes;
      for (int Index = 1; Index <= Survivors; ++Index)
        Nodes.push_back(makeNode(Index, 2));
      KeyPlanner Planner("s", {});
      Instant Now{std::int64_t{10'000'000}};
      for (int Step = 0; Step < 200; ++Step) {
        if (auto Plan = Planner.plan(&Map, Nodes, true, Now))
          Map = Plan->Map;
        Now = Now + milliseconds(100);
      }
      for (int Index = 1; Index <= Survivors; ++Index) {
        auto Owned = static_cast<std::size_t>(
            std::ranges::count(Map.Rows, target(Index, 2), &KeyRow::Owner));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Owned) + " rows, " +
                                   std::to_string(Survivors) + " survivors",
                               Owned > 0 && Owned <= MaxRows);
      }
      CPPUNIT_ASSERT(std::ranges::all_of(Map.Rows, [](const KeyRow &Row) {
        return Row.Owner.StartTimeMs == 2 && Row.Fence > Rows;
      }));
    }
  }

  // Guards against an answer that the target ignores because of its size, and
  // that leaves it without any key.
  void answersGrantWhatFits() {
    KeyMap Map;
    Map.Service = "s";
    constexpr std::uint32_t Rows = 512;
    constexpr std::uint32_t KeysPerRow = (LastKey + 1) / Rows;
    for (std::uint32_t Row = 0; Row < Rows; ++Row)
      Map.Rows.push_back({{Row * KeysPerRow, (Row + 1) * KeysPerRow - 1},
                          target(1),
                          Row + 1,
                          "5c0e7a21d94b36f8",
                          {}});
    // The widest row goes first.
    Map.Rows[400].Keys.From = Map.Rows[399].Keys.From;
    Map.Rows.erase(Map.Rows.begin() + 399);
    Instant Now{std::int64_t{10'000'000}};
    KeyGrantor Grantor({});
    routing::ReportAnswer Answer =
        Grantor.answerReport({}, target(1), &Map, Now + seconds(8), Now).Answer;
    CPPUNIT_ASSERT(Answer.Grants.size() >= 80 && Answer.Grants.size() <= 140);
    CPPUNIT_ASSERT(Answer.HoldTime > seconds(1));
    CPPUNIT_ASSERT(Grantor.holds(400 * KeysPerRow, Now));
    // The node counts only what it granted, and goes on with it.
    std::size_t Held = 0;
    for (std::uint32_t Row = 0; Row < Rows; ++Row)
      Held += Grantor.holds(Row * KeysPerRow, Now) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(Answer.Grants.size() + 1, Held);
    CPPUNIT_ASSERT(
        Grantor.answerReport({}, target(1), &Map, Now + seconds(9), Now)
            .Answer.Grants == Answer.Grants);
  }

  void removesLostMarkOfReturnedOwner() {
    KeyPlanner Planner("s", {});
    Instant Now{std::int64_t{10'000'000}};
    KeyMap Map = makeTwoOwnerMap();
    Map.Lost = {{target(1), 1}};
    Map.LastMark = 1;
    std::vector<PlannerNode> Nodes = {makeNode(1), makeNode(2)};
    auto Plan = Planner.plan(&Map, Nodes, true, Now);
    CPPUNIT_ASSERT(Plan && Plan->Map.Lost.empty());
    CPPUNIT_ASSERT(Plan->Map.Rows == Map.Rows);
  }

  void replacesRestartedTargetImmediately() {
    KeyPlanner Planner("s", {});
    KeyMap Map = makeTwoOwnerMap();
    std::vector<PlannerNode> Nodes = {makeNode(1, 2), makeNode(2)};
    auto Plan =
        Planner.plan(&Map, Nodes, true, Instant(std::int64_t{10'000'000}));
    CPPUNIT_ASSERT(Plan && Plan->Map.find(0)->Owner == target(1, 2));
    CPPUNIT_ASSERT(Plan->Map.find(0)->Fence == 3);
    CPPUNIT_ASSERT(Plan->Map.find(40000)->Fence == 2);
    // The plan depends on the entry that shows the later process.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{11}, Plan->Conditions.at(0).Revision);
  }

  // A store write that was not acknowledged may take effect seconds late and
  // show an earlier process of the target.
  void ignoresEntriesOfEarlierProcess() {
    KeyPlanner Planner("s", {});
    KeyMap Map = makeTwoOwnerMap();
    Map.Rows[0].Owner = target(1, 5);
    std::vector<PlannerNode> Nodes = {makeNode(1, 4), makeNode(2)};
    auto Plan =
        Planner.plan(&Map, Nodes, true, Instant(std::int64_t{10'000'000}));
    CPPUNIT_ASSERT(!Plan || Plan->Map.find(0)->Owner == target(1, 5));
  }

  void movesKeysOfLeavingTargets() {
    KeyPlanner Planner("s", {});
    KeyMap Map = makeTwoOwnerMap();
    std::vector<PlannerNode> Nodes = {makeNode(1), makeNode(2)};
    Nodes[0].Ready = false;
    auto Plan =
        Planner.plan(&Map, Nodes, true, Instant(std::int64_t{10'000'000}));
    CPPUNIT_ASSERT(Plan && Plan->Map.find(0)->Next == target(2));
    // The owner keeps its fencing token until it has released the keys.
    CPPUNIT_ASSERT(Plan->Map.find(0)->Owner == target(1));
  }

  void movesKeysToNewTargets() {
    KeyPlanner Planner("s", {});
    KeyMap Map = makeTwoOwnerMap();
    std::vector<PlannerNode> Nodes = {makeNode(1), makeNode(2), makeNode(3)};
    auto Plan =
        Planner.plan(&Map, Nodes, true, Instant(std::int64_t{10'000'000}));
    CPPUNIT_ASSERT(Plan &&
                   std::ranges::any_of(Plan->Map.Rows, [](const KeyRow &Row) {
                     return Row.Next == target(3);
                   }));
  }

  // Load pattern: a third of the requests goes to 200 adjacent keys of one
  // target. These keys must be distributed over the targets, and few other keys
  // may move with them.
  void distributesHotKeys() {
    std::vector<TargetLoad> Loads = {{target(1), 200, 100, {}},
                                     {target(2), 20, 100, {}}};
    for (std::uint32_t I = 0; I < 31; ++I)
      Loads[0].Quantiles.push_back(1000 + 6 * I);
    Loads[1].Quantiles = {40000, 50000};
    std::vector<KeyMove> Moves = planMoves(makeTwoOwnerMap(), Loads);
    CPPUNIT_ASSERT(!Moves.empty());
    std::uint64_t Keys = 0;
    for (const KeyMove &Move : Moves) {
      CPPUNIT_ASSERT(Move.From == target(1) && Move.To == target(2));
      Keys += Move.Keys.To - Move.Keys.From + 1;
    }
    CPPUNIT_ASSERT(Keys < 400);
  }

  void keepsBalancedLoad() {
    std::vector<TargetLoad> Loads = {{target(1), 90, 100, {1, 2, 3}},
                                     {target(2), 85, 100, {40000}}};
    CPPUNIT_ASSERT(planMoves(makeTwoOwnerMap(), Loads).empty());
    Loads = {{target(1), 60, 100, {1, 2, 3}}, {target(2), 1, 100, {}}};
    CPPUNIT_ASSERT(planMoves(makeTwoOwnerMap(), Loads).empty());
  }

  void loadMeterFindsHotKeys() {
    KeyLoadMeter Meter;
    Instant Now{std::int64_t{10'000'000}};
    for (int I = 0; I < 100; ++I) {
      Now = Now + milliseconds(5);
      Meter.recordRequest(
          I % 2 == 0 ? 777U : static_cast<std::uint32_t>(I * 600), Now);
    }
    KeyDemand Demand = Meter.measure(Now);
    CPPUNIT_ASSERT(Demand.Rate > 90 && Demand.Rate < 110);
    CPPUNIT_ASSERT(std::ranges::count(Demand.Quantiles, 777U) > 10);
    CPPUNIT_ASSERT(Meter.measure(Now + seconds(5)).Rate == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyspaceTest);

} // namespace
} // namespace orioledoor::keyspace
