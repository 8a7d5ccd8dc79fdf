// Guards the parts that decide on keys: the map, grants and transfers at one
// target, the plans and the balance of load.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "orioledoor/keyspace/authority.h"
#include "orioledoor/keyspace/key_balance.h"
#include "orioledoor/keyspace/key_grantor.h"
#include "orioledoor/keyspace/key_load_meter.h"
#include "orioledoor/keyspace/key_planner.h"

namespace orioledoor::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TargetRef target(int Index, std::int64_t Born = 1) {
  return {"i-" + std::to_string(Index), Born,
          "tcp://10.0.0." + std::to_string(Index) + ":7100"};
}

PlannedNode nodeOf(int Index, std::int64_t Born = 1) {
  return {.Node = target(Index).Node,
          .EntryRevision = 10 + Index,
          .Target = target(Index, Born),
          .Service = "s",
          .Ready = true,
          .Slots = 10};
}

// Two targets with half of the keys each.
KeyMap halves() {
  KeyMap Map;
  Map.Service = "s";
  Map.LastFence = 2;
  Map.Rows = {{{0, 32767}, target(1), 1, "", {}},
              {{32768, LastKey}, target(2), 2, "", {}}};
  return Map;
}

class KeyspaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyspaceTest);
  CPPUNIT_TEST(mapSurvivesTheStore);
  CPPUNIT_TEST(mapSplitsAndMerges);
  CPPUNIT_TEST(grantsWithinTheAuthority);
  CPPUNIT_TEST(transfersOnlyWhatIsReleased);
  CPPUNIT_TEST(grantsNothingToALostTarget);
  CPPUNIT_TEST(authorityNeedsTheRecord);
  CPPUNIT_TEST(plansFirstOwnersOnceSettled);
  CPPUNIT_TEST(waitsOutALostOwner);
  CPPUNIT_TEST(takesBackTheMarkOfAReturnedOwner);
  CPPUNIT_TEST(replacesAnEarlierLifeAtOnce);
  CPPUNIT_TEST(ignoresEntriesOfAnEarlierLife);
  CPPUNIT_TEST(emptiesLeavingTargets);
  CPPUNIT_TEST(givesKeysToNewTargets);
  CPPUNIT_TEST(sharesAHotSpot);
  CPPUNIT_TEST(leavesABalancedLoadAlone);
  CPPUNIT_TEST(meterFindsHotKeys);
  CPPUNIT_TEST_SUITE_END();

public:
  void mapSurvivesTheStore() {
    KeyMap Map = halves();
    Map.Rows[0].Next = target(2);
    Map.Rows[1].Handover = "5c0e";
    Map.Lost = {{target(2), 4}};
    Map.LastMark = 4;
    auto Back = decodeKeyMap(encodeKeyMap(Map));
    CPPUNIT_ASSERT(Back.ok() && *Back == Map);
    CPPUNIT_ASSERT(!decodeKeyMap("{}").ok());
    CPPUNIT_ASSERT(!decodeKeyMap("[1").ok());
    CPPUNIT_ASSERT(Map.find(32768)->Owner == target(2));
    CPPUNIT_ASSERT(Map.find(0)->Owner == target(1));
  }

  void mapSplitsAndMerges() {
    KeyMap Map = halves();
    Map.splitAt({100, 199});
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Map.Rows.size());
    CPPUNIT_ASSERT(Map.find(150)->Keys == (KeyRange{100, 199}));
    Map.mergeNeighbours();
    CPPUNIT_ASSERT(Map == halves());
  }

  // A hold must end before the node's authority does, on a clock 2% slow.
  void grantsWithinTheAuthority() {
    KeyGrantor Grantor({});
    Instant Now{std::int64_t{10'000'000}};
    KeyMap Map = halves();
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
    // The end of the earlier, longer hold is still remembered.
    CPPUNIT_ASSERT(Grantor.holdsEnd() > Now + seconds(2));
  }

  void transfersOnlyWhatIsReleased() {
    KeyGrantor Grantor({});
    Instant Now{std::int64_t{10'000'000}};
    Instant End = Now + seconds(60);
    KeyMap Map = halves();
    routing::TargetReport Report;
    Grantor.answerReport(Report, target(1), &Map, End, Now);
    Map.Rows[0].Next = target(2);
    Report.Holds = {{{0, 32767}, 1}};
    GrantDecision Decision =
        Grantor.answerReport(Report, target(1), &Map, End, Now);
    CPPUNIT_ASSERT(Decision.Transfers.empty());
    CPPUNIT_ASSERT(Decision.Answer.Grants.empty());
    CPPUNIT_ASSERT(Decision.Answer.HoldTime > seconds(1));
    // Part of it is still in use.
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

  void grantsNothingToALostTarget() {
    KeyGrantor Grantor({});
    Instant Now{std::int64_t{10'000'000}};
    KeyMap Map = halves();
    Map.Lost = {{target(1), 1}};
    GrantDecision Decision =
        Grantor.answerReport({}, target(1), &Map, Now + seconds(60), Now);
    CPPUNIT_ASSERT(Decision.Answer.HoldTime.count() == 0);
  }

  void authorityNeedsTheRecord() {
    Authority Own(seconds(8));
    Instant At{std::int64_t{10'000'000}};
    Own.entryWritten(At);
    Own.renewed(At + seconds(1));
    CPPUNIT_ASSERT(Own.until() == Instant());
    Own.recordRead();
    CPPUNIT_ASSERT(Own.until() == At + seconds(9));
    Own.entryLost();
    Own.entryWritten(At + seconds(5));
    // Until the record was read again nothing is added.
    Own.renewed(At + seconds(6));
    CPPUNIT_ASSERT(Own.until() == At + seconds(9));
  }

  void plansFirstOwnersOnceSettled() {
    KeyPlanner Planner("s", {});
    Instant Now{std::int64_t{10'000'000}};
    std::vector<PlannedNode> Nodes = {nodeOf(1)};
    CPPUNIT_ASSERT(!Planner.plan(nullptr, Nodes, true, Now));
    Nodes.push_back(nodeOf(2));
    CPPUNIT_ASSERT(!Planner.plan(nullptr, Nodes, true, Now + seconds(1)));
    CPPUNIT_ASSERT(!Planner.plan(nullptr, Nodes, false, Now + seconds(4)));
    auto Plan = Planner.plan(nullptr, Nodes, true, Now + seconds(4));
    CPPUNIT_ASSERT(Plan && Plan->Map.Rows.size() == 2);
    CPPUNIT_ASSERT(Plan->Map.Rows[0].Keys.From == 0);
    CPPUNIT_ASSERT(Plan->Map.Rows[1].Keys.To == LastKey);
    CPPUNIT_ASSERT(Plan->Map.Rows[0].Fence != Plan->Map.Rows[1].Fence);
  }

  void waitsOutALostOwner() {
    KeyPlanner Planner("s", {});
    Instant Now{std::int64_t{10'000'000}};
    KeyMap Map = halves();
    std::vector<PlannedNode> Nodes = {nodeOf(2)};
    CPPUNIT_ASSERT(!Planner.plan(&Map, Nodes, true, Now));
    Now = Now + seconds(3);
    auto Marked = Planner.plan(&Map, Nodes, true, Now);
    CPPUNIT_ASSERT(Marked && Marked->Map.findLost(target(1)));
    CPPUNIT_ASSERT(Marked->Conditions ==
                   (std::vector<EntryCondition>{
                       {KeyPlanner::entryKeyOf(target(1).Node), 0}}));
    CPPUNIT_ASSERT(Marked->Map.find(0)->Owner == target(1));
    // The first plan was not written; the wait starts with the one that was.
    Now = Now + seconds(20);
    CPPUNIT_ASSERT(!Planner.plan(&Marked->Map, Nodes, true, Now));
    CPPUNIT_ASSERT(
        !Planner.plan(&Marked->Map, Nodes, true, Now + milliseconds(8400)));
    auto Replaced =
        Planner.plan(&Marked->Map, Nodes, true, Now + milliseconds(8500));
    CPPUNIT_ASSERT(Replaced && Replaced->Map.find(0)->Owner == target(2));
    CPPUNIT_ASSERT(Replaced->Map.find(0)->Fence > 2);
  }

  void takesBackTheMarkOfAReturnedOwner() {
    KeyPlanner Planner("s", {});
    Instant Now{std::int64_t{10'000'000}};
    KeyMap Map = halves();
    Map.Lost = {{target(1), 1}};
    Map.LastMark = 1;
    std::vector<PlannedNode> Nodes = {nodeOf(1), nodeOf(2)};
    auto Plan = Planner.plan(&Map, Nodes, true, Now);
    CPPUNIT_ASSERT(Plan && Plan->Map.Lost.empty());
    CPPUNIT_ASSERT(Plan->Map.Rows == Map.Rows);
  }

  void replacesAnEarlierLifeAtOnce() {
    KeyPlanner Planner("s", {});
    KeyMap Map = halves();
    std::vector<PlannedNode> Nodes = {nodeOf(1, 2), nodeOf(2)};
    auto Plan =
        Planner.plan(&Map, Nodes, true, Instant(std::int64_t{10'000'000}));
    CPPUNIT_ASSERT(Plan && Plan->Map.find(0)->Owner == target(1, 2));
    CPPUNIT_ASSERT(Plan->Map.find(0)->Fence == 3);
    CPPUNIT_ASSERT(Plan->Map.find(40000)->Fence == 2);
    // The plan rests on the entry that shows the later life.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{11}, Plan->Conditions.at(0).Revision);
  }

  // A store write without an answer may come seconds late and show an earlier
  // life.
  void ignoresEntriesOfAnEarlierLife() {
    KeyPlanner Planner("s", {});
    KeyMap Map = halves();
    Map.Rows[0].Owner = target(1, 5);
    std::vector<PlannedNode> Nodes = {nodeOf(1, 4), nodeOf(2)};
    auto Plan =
        Planner.plan(&Map, Nodes, true, Instant(std::int64_t{10'000'000}));
    CPPUNIT_ASSERT(!Plan || Plan->Map.find(0)->Owner == target(1, 5));
  }

  void emptiesLeavingTargets() {
    KeyPlanner Planner("s", {});
    KeyMap Map = halves();
    std::vector<PlannedNode> Nodes = {nodeOf(1), nodeOf(2)};
    Nodes[0].Ready = false;
    auto Plan =
        Planner.plan(&Map, Nodes, true, Instant(std::int64_t{10'000'000}));
    CPPUNIT_ASSERT(Plan && Plan->Map.find(0)->Next == target(2));
    // The owner keeps its token until it has let go.
    CPPUNIT_ASSERT(Plan->Map.find(0)->Owner == target(1));
  }

  void givesKeysToNewTargets() {
    KeyPlanner Planner("s", {});
    KeyMap Map = halves();
    std::vector<PlannedNode> Nodes = {nodeOf(1), nodeOf(2), nodeOf(3)};
    auto Plan =
        Planner.plan(&Map, Nodes, true, Instant(std::int64_t{10'000'000}));
    CPPUNIT_ASSERT(Plan &&
                   std::ranges::any_of(Plan->Map.Rows, [](const KeyRow &Row) {
                     return Row.Next == target(3);
                   }));
  }

  // Pattern: a third of a class goes to 200 neighbouring keys of one target.
  // They are shared out, and few other keys move with them.
  void sharesAHotSpot() {
    std::vector<TargetLoad> Loads = {{target(1), 200, 100, {}},
                                     {target(2), 20, 100, {}}};
    for (std::uint32_t I = 0; I < 31; ++I)
      Loads[0].Quantiles.push_back(1000 + 6 * I);
    Loads[1].Quantiles = {40000, 50000};
    std::vector<KeyMove> Moves = planMoves(halves(), Loads);
    CPPUNIT_ASSERT(!Moves.empty());
    std::uint64_t Keys = 0;
    for (const KeyMove &Move : Moves) {
      CPPUNIT_ASSERT(Move.From == target(1) && Move.To == target(2));
      Keys += Move.Keys.To - Move.Keys.From + 1;
    }
    CPPUNIT_ASSERT(Keys < 400);
  }

  void leavesABalancedLoadAlone() {
    std::vector<TargetLoad> Loads = {{target(1), 90, 100, {1, 2, 3}},
                                     {target(2), 85, 100, {40000}}};
    CPPUNIT_ASSERT(planMoves(halves(), Loads).empty());
    Loads = {{target(1), 60, 100, {1, 2, 3}}, {target(2), 1, 100, {}}};
    CPPUNIT_ASSERT(planMoves(halves(), Loads).empty());
  }

  void meterFindsHotKeys() {
    KeyLoadMeter Meter;
    Instant Now{std::int64_t{10'000'000}};
    for (int I = 0; I < 100; ++I) {
      Now = Now + milliseconds(5);
      Meter.note(I % 2 == 0 ? 777U : static_cast<std::uint32_t>(I * 600), Now);
    }
    KeyDemand Demand = Meter.read(Now);
    CPPUNIT_ASSERT(Demand.Rate > 90 && Demand.Rate < 110);
    CPPUNIT_ASSERT(std::ranges::count(Demand.Quantiles, 777U) > 10);
    CPPUNIT_ASSERT(Meter.read(Now + seconds(5)).Rate == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyspaceTest);

} // namespace
} // namespace orioledoor::keyspace
