// Tests the node as a whole where its parts interact: readiness, answers to
// reports, ended targets, and the exchange of configurations and key maps
// between nodes.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>

#include "orioledoor/keyspace/key_map_change.h"
#include "orioledoor/keyspace/key_planner.h"
#include "orioledoor/sidecar/reducer.h"
#include "orioledoor/sidecar/testing/reducer_fixture.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::KeyMapRevision;
using testing::OwnAddress;
using testing::ReducerFixture;

// Sorts first, so this node plans the owners of keys.
constexpr char PlannerAddress[] = "tcp://10.0.0.0:7100";
constexpr char OtherAddress[] = "tcp://10.0.0.2:7100";

keyspace::KeyMap makeSingleOwnerMap(const routing::TargetRef &Owner,
                                    const routing::TargetRef &Next) {
  keyspace::KeyMap Map;
  Map.Service = "keyed";
  Map.LastFence = 1;
  Map.Rows = {{{0, keyspace::LastKey}, Owner, 1, "", Next}};
  return Map;
}

// Returns a map with as many rows as a service of 37 targets has after a few
// moves.
keyspace::KeyMap makeManyOwnerMap(const std::string &Node) {
  constexpr std::uint32_t Rows = 64;
  constexpr std::uint32_t KeysPerRow = (keyspace::LastKey + 1) / Rows;
  keyspace::KeyMap Map;
  Map.Service = "keyed";
  Map.LastFence = 1;
  for (std::uint32_t Row = 0; Row < Rows; ++Row)
    Map.Rows.push_back({{Row * KeysPerRow, (Row + 1) * KeysPerRow - 1},
                        {"i-" + std::to_string(Row), 1, Node},
                        1,
                        "",
                        {}});
  return Map;
}

class ReducerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReducerTest);
  CPPUNIT_TEST(becomesReadyWithRoutesAndMembers);
  CPPUNIT_TEST(defersReportAnswerUntilKeysArrive);
  CPPUNIT_TEST(statesThatASilentTargetOfAnEarlierProcessHasEnded);
  CPPUNIT_TEST(targetsThatFallSilentAfterARestartHaveNotEndedAtOnce);
  CPPUNIT_TEST(reportsTheStatedLimitAsCapacity);
  CPPUNIT_TEST(reportsTheColdPaceAsCapacity);
  CPPUNIT_TEST(appliesKeyMapChangesInOrder);
  CPPUNIT_TEST(learnsOfNewNodesFromThem);
  CPPUNIT_TEST(spreadsConfigWatchesOverTheFleet);
  CPPUNIT_TEST(ignoresOlderConfiguration);
  CPPUNIT_TEST(appliesConfigurationFromAnotherNode);
  CPPUNIT_TEST(limitsLinkUseBySendingConfigurations);
  CPPUNIT_TEST(keyMapsGoToNodesThatLackThem);
  CPPUNIT_TEST(formerOwnerOfHotKeysKeepsItsLinkFree);
  CPPUNIT_TEST(retryBudgetFollowsTheMembers);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a part of the fleet's retry allowance that does not shrink
  // when nodes join, and against one that is in use before the members are
  // known.
  void retryBudgetFollowsTheMembers() {
    SidecarOptions Options = testing::newOptions();
    Options.RetryExtra = 60;
    testing::ReducerFixture Sidecar(Options);
    auto Available = [&Sidecar] {
      return Sidecar.Reducer.entry().retryBudgets().available("plain",
                                                              Sidecar.Now);
    };
    CPPUNIT_ASSERT_EQUAL(0.0, Available());
    Sidecar.joinFleet();
    double OfOne = Available();
    CPPUNIT_ASSERT(OfOne > 0 && OfOne < 60);
    Sidecar.addReadRoute();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(OfOne / 3, Available(), 1e-9);
  }

  void becomesReadyWithRoutesAndMembers() {
    ReducerFixture Sidecar;
    CPPUNIT_ASSERT(!Sidecar.Reducer.ready());
    Sidecar.dispatch(CallerRequestReceived{
        {.Caller = 1,
         .AttemptId = "a",
         .Content = std::make_shared<routing::RequestContent>()}});
    CPPUNIT_ASSERT_EQUAL(503, Sidecar.find<ReplyToCaller>()->Answer.Status);
    ReducerFixture SecondSidecar;
    SecondSidecar.joinFleet();
    CPPUNIT_ASSERT(SecondSidecar.Reducer.ready());
    SecondSidecar.dispatch(StopRequested{});
    CPPUNIT_ASSERT(!SecondSidecar.Reducer.ready());
  }

  // Hot keys that change owners must not wait for the next report of their new
  // owner, which takes 435 ms on average.
  void defersReportAnswerUntilKeysArrive() {
    routing::TargetRef Self{"i-1", 1, OwnAddress};
    routing::TargetRef Before{"i-2", 1, OtherAddress};
    keyspace::KeyMap Map = makeSingleOwnerMap(Before, Self);
    ReducerFixture Sidecar;
    Sidecar.joinFleet(&Map);
    Sidecar.report(1);
    CPPUNIT_ASSERT(!Sidecar.find<ReplyToReport>());
    Sidecar.advance(milliseconds(100));
    CPPUNIT_ASSERT(!Sidecar.find<ReplyToReport>());
    keyspace::KeyMap Moved = makeSingleOwnerMap(Self, {});
    Moved.Rows[0].Fence = 2;
    Sidecar.dispatch(PeerMessageReceived{
        OtherAddress,
        routing::KeyMapNotice{11, keyspace::encodeKeyMap(Moved)}});
    CPPUNIT_ASSERT(Sidecar.find<ReplyToReport>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Sidecar.find<ReplyToReport>()->Answer.Grants.size());
    // A target discards answers that take longer than a second.
    ReducerFixture SecondSidecar;
    SecondSidecar.joinFleet(&Map);
    SecondSidecar.report(1);
    SecondSidecar.advance(milliseconds(640));
    CPPUNIT_ASSERT(SecondSidecar.find<ReplyToReport>());
    CPPUNIT_ASSERT(SecondSidecar.find<ReplyToReport>()->Answer.Grants.empty());
  }

  // Guards against keys that stay with a target which is gone for good, since
  // the node beside it restarted and is taken for a sign that it lives.
  void statesThatASilentTargetOfAnEarlierProcessHasEnded() {
    routing::TargetRef Earlier{"i-1", 1, OwnAddress};
    keyspace::KeyMap Map = makeSingleOwnerMap(Earlier, {});
    ReducerFixture Sidecar;
    Sidecar.joinFleet(&Map);
    // The earlier process may have granted holds of 5 s until its end, on a
    // clock that runs 2% slow.
    Sidecar.advance(milliseconds(5100));
    CPPUNIT_ASSERT(!Sidecar.Reducer.membership().selfEntry().Ended);
    Sidecar.advance(milliseconds(800));
    CPPUNIT_ASSERT(Sidecar.Reducer.membership().selfEntry().Ended == Earlier);
    // It was only silent.
    Sidecar.report(1);
    CPPUNIT_ASSERT(!Sidecar.Reducer.membership().selfEntry().Ended);
  }

  // Guards against a node that restarts while the store is down, hears from its
  // target once and states that it has ended before its last hold has.
  void targetsThatFallSilentAfterARestartHaveNotEndedAtOnce() {
    ReducerFixture Sidecar;
    auto Table = std::make_shared<routing::RouteTable>();
    Table->Services["keyed"] = {"keyed", "/health", 0, true};
    Table->finish();
    Sidecar.dispatch(ConfigDecoded{Table});
    Sidecar.report(1);
    Sidecar.advance(milliseconds(5100));
    CPPUNIT_ASSERT(!Sidecar.Reducer.membership().selfEntry().Ended);
    Sidecar.advance(milliseconds(800));
    CPPUNIT_ASSERT(Sidecar.Reducer.membership().selfEntry().Ended);
  }

  // The planner moved keys to targets that had stated a limit on their request
  // rate, since it was told the capacity of their slots.
  void reportsTheStatedLimitAsCapacity() {
    ReducerFixture Sidecar;
    Sidecar.joinFleet();
    NodeEntry Planner;
    Planner.Node = PlannerAddress;
    Planner.Process = 2;
    Sidecar.dispatch(PeerMessageReceived{
        PlannerAddress, routing::NodeNotice{11, encodeNodeEntry(Planner)}});
    Sidecar.report(1);
    Sidecar.dispatch(PeerMessageReceived{
        OtherAddress,
        routing::Forward{.Id = 1,
                         .Process = 9,
                         .Service = "keyed",
                         .AttemptId = "a",
                         .TimeLeft = seconds(2),
                         .LatencyLeft = seconds(1),
                         .LastChoice = true,
                         .Content =
                             std::make_shared<routing::RequestContent>()}});
    const auto *Call = Sidecar.find<StartCall>();
    CPPUNIT_ASSERT(Call);
    Sidecar.Now = Sidecar.Now + milliseconds(50);
    Sidecar.dispatch(TargetAnswered{Call->CallId,
                                    {200, {}, ""},
                                    false,
                                    routing::TargetSignals{.RateLimit = 5}});
    Sidecar.advance(milliseconds(400));
    const auto *Load = Sidecar.findMessage<routing::KeyLoadNotice>();
    CPPUNIT_ASSERT(Load);
    CPPUNIT_ASSERT_EQUAL(5.0, Load->Capacity);
  }

  // A cold target would get keys for all of its slots, and its keyed requests
  // far more than it tolerates.
  void reportsTheColdPaceAsCapacity() {
    SidecarOptions Options = testing::newOptions();
    Options.ColdOverage = 1.5;
    Options.ColdSlack = 8;
    ReducerFixture Sidecar(Options);
    Sidecar.joinFleet();
    NodeEntry Planner;
    Planner.Node = PlannerAddress;
    Planner.Process = 2;
    Sidecar.dispatch(PeerMessageReceived{
        PlannerAddress, routing::NodeNotice{11, encodeNodeEntry(Planner)}});
    auto Table = std::make_shared<routing::RouteTable>();
    Table->Version = 1'000;
    Table->Services["keyed"] = {.Name = "keyed",
                                .Partitioned = true,
                                .ColdRequestsPerSecond = 4,
                                .ColdTime = seconds(3)};
    Sidecar.dispatch(ConfigDecoded{Table, ""});
    Sidecar.report(1, 1, seconds(3));
    Sidecar.advance(milliseconds(400));
    const auto *Load = Sidecar.findMessage<routing::KeyLoadNotice>();
    CPPUNIT_ASSERT(Load);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, Load->Capacity, 0.01);
    const routing::TargetStatus Status =
        Sidecar.Reducer.gate().status(Sidecar.Now);
    CPPUNIT_ASSERT(Status.StartInterval == Duration(166'667));
  }

  // Guards against owners that are not known, since the messages of two nodes
  // overtook each other or one was lost.
  void appliesKeyMapChangesInOrder() {
    routing::TargetRef Self{"i-1", 1, OwnAddress};
    routing::TargetRef Other{"i-2", 1, OtherAddress};
    keyspace::KeyMap Known = makeSingleOwnerMap(Self, {});
    keyspace::KeyMap Second = makeSingleOwnerMap(Self, Other);
    keyspace::KeyMap Third = makeSingleOwnerMap(Other, {});
    Third.Rows[0].Fence = 5;
    auto Notice = [](const keyspace::KeyMap &Before,
                     const keyspace::KeyMap &After, std::int64_t Revision) {
      return PeerMessageReceived{
          OtherAddress, routing::KeyMapChangeNotice{
                            .BaseRevision = Revision - 1,
                            .Revision = Revision,
                            .Checksum = keyspace::checksum(After),
                            .Change = keyspace::encodeKeyMap(
                                keyspace::changeBetween(Before, After))}};
    };
    auto KnownFence = [](const ReducerFixture &Sidecar) {
      return Sidecar.Reducer.membership()
          .keyMaps()
          .find("keyed")
          ->second.Map.Rows.at(0)
          .Fence;
    };
    ReducerFixture Sidecar;
    Sidecar.joinFleet(&Known);
    Sidecar.dispatch(Notice(Second, Third, 11));
    CPPUNIT_ASSERT(KnownFence(Sidecar) != 5);
    Sidecar.dispatch(Notice(Known, Second, 10));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, KnownFence(Sidecar));
    // The first change is lost: the map is read from the store.
    ReducerFixture SecondSidecar;
    SecondSidecar.joinFleet(&Known);
    SecondSidecar.advance(milliseconds(100));
    SecondSidecar.dispatch(Notice(Second, Third, 11));
    SecondSidecar.advance(milliseconds(200));
    const auto *Call = SecondSidecar.find<CallStore>();
    CPPUNIT_ASSERT(Call);
    CPPUNIT_ASSERT_EQUAL(std::string(KeysPrefix) + "keyed",
                         std::get<StoreRange>(Call->Request.Body).Key);
    StoreReply Read{.Revision = 12};
    Read.Entries = {
        {std::string(KeysPrefix) + "keyed", keyspace::encodeKeyMap(Third), 11}};
    SecondSidecar.reply(Read);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, KnownFence(SecondSidecar));
  }

  // Guards against a new node that gets no requests from others until their
  // watches report it, and against a node that is gone and returns by a late
  // message.
  void learnsOfNewNodesFromThem() {
    NodeEntry Other;
    Other.Node = OtherAddress;
    Other.Place = {"d2", "r1"};
    Other.Process = 2;
    auto Announce = [&Other](const std::string &From, std::int64_t Revision) {
      return PeerMessageReceived{
          From, routing::NodeNotice{Revision, encodeNodeEntry(Other)}};
    };
    ReducerFixture Sidecar;
    Sidecar.joinFleet();
    // joinFleet() read revision 10.
    Sidecar.dispatch(Announce(OtherAddress, 10));
    Sidecar.dispatch(Announce("tcp://10.0.0.3:7100", 12));
    CPPUNIT_ASSERT(!Sidecar.Reducer.directory().find(OtherAddress));
    Sidecar.dispatch(Announce(OtherAddress, 12));
    const auto *View = Sidecar.Reducer.directory().find(OtherAddress);
    CPPUNIT_ASSERT(View && View->Place.FailureDomain == "d2");
    // Its entry ends at revision 14.
    StoreWatchUpdate Ended{.Revision = 14};
    Ended.Changes.push_back(
        {{keyspace::KeyPlanner::nodeEntryKey(OtherAddress), "", 14}, true});
    Sidecar.dispatch(StoreWatchUpdated{Ended});
    Sidecar.dispatch(Announce(OtherAddress, 12));
    CPPUNIT_ASSERT(Sidecar.Reducer.membership()
                       .nodes()
                       .at(keyspace::KeyPlanner::nodeEntryKey(OtherAddress))
                       .MissingSince);
  }

  // Guards against nodes whose watches end at the same moment, or that keep the
  // schedule of a fleet of another size.
  void spreadsConfigWatchesOverTheFleet() {
    ReducerFixture Sidecar;
    const auto *Alone = Sidecar.find<SetConfigWatchSchedule>();
    CPPUNIT_ASSERT(Alone && Alone->Schedule == scheduleConfigWatch(0, 1));
    Sidecar.joinFleet();
    for (int I = 2; I <= 9; ++I) {
      NodeEntry Other;
      Other.Node = "tcp://10.0.0." + std::to_string(I) + ":7100";
      Other.Process = 2;
      Sidecar.dispatch(PeerMessageReceived{
          Other.Node, routing::NodeNotice{10 + I, encodeNodeEntry(Other)}});
    }
    const auto *Spread = Sidecar.find<SetConfigWatchSchedule>();
    CPPUNIT_ASSERT(Spread && Spread->Schedule == scheduleConfigWatch(0, 9));
    CPPUNIT_ASSERT(Spread->Schedule.First < Spread->Schedule.Interval);
  }

  void ignoresOlderConfiguration() {
    ReducerFixture Sidecar;
    Sidecar.joinFleet();
    auto Newer = std::make_shared<routing::RouteTable>();
    Newer->Version = 9;
    Sidecar.dispatch(ConfigDecoded{Newer});
    auto Older = std::make_shared<routing::RouteTable>();
    Older->Version = 8;
    Sidecar.dispatch(ConfigDecoded{Older});
    CPPUNIT_ASSERT(Sidecar.Reducer.entry().table()->Version == 9);
  }

  // Guards against a node that the store rejects for seconds and that answers
  // 404 for routes which all other nodes serve.
  void appliesConfigurationFromAnotherNode() {
    ReducerFixture Ahead;
    Ahead.joinFleet();
    auto Newer = makeTable(9);
    Ahead.dispatch(ConfigDecoded{Newer});
    ReducerFixture Behind;
    Behind.joinFleet();
    CPPUNIT_ASSERT_EQUAL(404, Behind.statusForCaller(1));
    // Every request and result states which version its sender has in force.
    routing::Forward Request;
    Request.Content = std::make_shared<routing::RequestContent>();
    Behind.dispatch(PeerMessageReceived{OtherAddress, Request});
    const auto *Refused = Behind.find<SendMessage>();
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{1},
        std::get<routing::ForwardResult>(Refused->Body).ConfigVersion);
    Request.ConfigVersion = 9;
    Behind.dispatch(PeerMessageReceived{OtherAddress, Request});
    CPPUNIT_ASSERT_EQUAL(503, Behind.statusForCaller(2));
    Behind.advance(milliseconds(300));
    // The initial read is still open; it fails now.
    Behind.dispatch(
        ConfigReadReplied{{.Status = absl::UnavailableError("cut off")}});
    Behind.advance(milliseconds(40));
    const auto *ConfigRequest = Behind.findMessage<routing::FetchConfig>();
    CPPUNIT_ASSERT(ConfigRequest && ConfigRequest->KnownVersion == 1);
    Ahead.dispatch(PeerMessageReceived{OtherAddress, *ConfigRequest});
    const auto *Notice = Ahead.findMessage<routing::ConfigNotice>();
    CPPUNIT_ASSERT(Notice && Notice->Document == Newer->Document);
    Behind.dispatch(PeerMessageReceived{OtherAddress, *Notice});
    const auto *Document = Behind.find<DecodeConfig>();
    CPPUNIT_ASSERT(Document && Document->Document == Newer->Document &&
                   Document->Node == OtherAddress);
    Behind.dispatch(ConfigDecoded{Newer, OtherAddress});
    CPPUNIT_ASSERT(Behind.find<ApplyLimits>());
    CPPUNIT_ASSERT(Behind.Reducer.entry().table()->Version == 9);
    CPPUNIT_ASSERT_EQUAL(404, Behind.statusForCaller(3));
    // A configuration that is not newer is neither sent nor applied.
    Ahead.dispatch(PeerMessageReceived{OtherAddress, routing::FetchConfig{9}});
    CPPUNIT_ASSERT(!Ahead.findMessage<routing::ConfigNotice>());
    Behind.dispatch(ConfigDecoded{makeTable(8), OtherAddress});
    CPPUNIT_ASSERT(!Behind.find<ApplyLimits>());
  }

  // After a network partition many nodes have an old configuration, and one
  // node with a 1 MB/s link has the new one. Its requests must not be delayed
  // by sending configurations.
  void limitsLinkUseBySendingConfigurations() {
    SidecarOptions Slow = testing::newOptions();
    Slow.LinkBytesPerSecond = 1e6;
    ReducerFixture Sidecar(Slow);
    Sidecar.joinFleet();
    auto Table = makeTable(9);
    Table->Document = std::string(100'000, 'x');
    Sidecar.dispatch(ConfigDecoded{Table});
    int Sent = 0;
    for (int Iteration = 0; Iteration < 40; ++Iteration) {
      Sidecar.dispatch(
          PeerMessageReceived{OtherAddress, routing::FetchConfig{1}});
      Sent += Sidecar.findMessage<routing::ConfigNotice>() ? 1 : 0;
      Sidecar.advance(milliseconds(20));
    }
    CPPUNIT_ASSERT_EQUAL(2, Sent);
  }

  // Guards against key maps that tell their receivers nothing new: while a key
  // moves, its last owner gets requests from nodes that know the move.
  void keyMapsGoToNodesThatLackThem() {
    keyspace::KeyMap Map =
        makeSingleOwnerMap({"i-9", 1, OtherAddress}, {"i-8", 1, OwnAddress});
    ReducerFixture Sidecar;
    Sidecar.joinFleet(&Map);
    Sidecar.report(1);
    Sidecar.forwardKeyed(OtherAddress, 1, KeyMapRevision);
    CPPUNIT_ASSERT(Sidecar.findMessage<routing::ForwardResult>());
    CPPUNIT_ASSERT(!Sidecar.findMessage<routing::KeyMapNotice>());
    Sidecar.forwardKeyed(OtherAddress, 2, KeyMapRevision - 1);
    CPPUNIT_ASSERT(Sidecar.findMessage<routing::KeyMapNotice>());
  }

  // The load of a hot spot that has just moved: 70 nodes go on sending ten
  // requests a second each to the last owner, whose link has 11 Mbit/s. Guards
  // against answering each with a key map, which took 86% of the link and
  // delayed requests, cancellations and answers by up to 1.1 s.
  void formerOwnerOfHotKeysKeepsItsLinkFree() {
    constexpr int Senders = 70;
    constexpr int RequestsPerSender = 10;
    SidecarOptions Slow = testing::newOptions();
    Slow.LinkBytesPerSecond = 11e6 / 8;
    keyspace::KeyMap Map = makeManyOwnerMap(OtherAddress);
    ReducerFixture Sidecar(Slow);
    Sidecar.joinFleet(&Map);
    Sidecar.report(1);
    std::size_t Bytes = 0;
    std::uint64_t Id = 0;
    for (int Round = 0; Round < RequestsPerSender; ++Round) {
      for (int Sender = 0; Sender < Senders; ++Sender) {
        Sidecar.forwardKeyed("tcp://10.0.1." + std::to_string(Sender) + ":7100",
                             ++Id, KeyMapRevision - 1);
        if (const auto *Sent = Sidecar.findMessage<routing::KeyMapNotice>())
          Bytes += Sent->Map.size();
      }
      Sidecar.advance(milliseconds(100));
    }
    CPPUNIT_ASSERT(Bytes > 0);
    CPPUNIT_ASSERT(Bytes <
                   static_cast<std::size_t>(Slow.LinkBytesPerSecond / 4));
  }

private:
  static std::shared_ptr<routing::RouteTable> makeTable(std::uint64_t Version) {
    auto Table = std::make_shared<routing::RouteTable>();
    Table->Version = Version;
    Table->Document = "document " + std::to_string(Version);
    return Table;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReducerTest);

} // namespace
} // namespace orioledoor::sidecar
