// Tests how evacuations get from the store to the gate and the other nodes.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include "orioledoor/platform/operator_keys.h"
#include "orioledoor/sidecar/config_follower.h"
#include "orioledoor/sidecar/events.h"
#include "orioledoor/sidecar/testing/reducer_fixture.h"

namespace orioledoor::sidecar {
namespace {

using routing::TargetState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char Prefix[] = "op/";
constexpr char OwnDomainKey[] = "op/evacuate/d1";

SidecarOptions newEvacuableOptions() {
  SidecarOptions Options = testing::newOptions();
  Options.OperatorPrefix = Prefix;
  Options.EvacuationTime = milliseconds(5000);
  return Options;
}

// A node whose target reports and whose failure domain is "d1".
class EvacuableNode : public testing::ReducerFixture {
public:
  explicit EvacuableNode(const SidecarOptions &Options = newEvacuableOptions(),
                         const keyspace::KeyMap *Map = nullptr)
      : ReducerFixture(Options) {
    this->joinFleet(Map);
    this->report(1);
  }
  void change(const char *Key, std::int64_t Revision, bool Deleted = false) {
    this->dispatch(ConfigWatchUpdated{
        {.Changes = {{{Key, "{}", Revision}, Deleted}}, .Revision = Revision}});
  }
  int countLogs(const EventDefinition &Logged) const {
    return static_cast<int>(
        std::ranges::count_if(this->Out, [&Logged](const Effect &Output) {
          const auto *Record = std::get_if<LogRecord>(&Output);
          return Record && Record->Event == &Logged;
        }));
  }
};

class PlacementLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementLimitsTest);
  CPPUNIT_TEST(decodesOperatorKeys);
  CPPUNIT_TEST(followsEvacuations);
  CPPUNIT_TEST(readsWhatOthersState);
  CPPUNIT_TEST(evacuatesTheTarget);
  CPPUNIT_TEST(givesNoGraceForOldNews);
  CPPUNIT_TEST(ignoresEvacuationsWithoutASetting);
  CPPUNIT_TEST(logsUnknownPlacesOnce);
  CPPUNIT_TEST(plansKeysWithinTheLimits);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against bad keys that are taken for evacuations.
  void decodesOperatorKeys() {
    using platform::decodeOperatorKey;
    using platform::OperatorKeyKind;
    CPPUNIT_ASSERT(decodeOperatorKey("op/config").Kind ==
                   OperatorKeyKind::Configuration);
    CPPUNIT_ASSERT_EQUAL(std::string("d1"),
                         decodeOperatorKey(OwnDomainKey).FailureDomain);
    for (const std::string &Key :
         {std::string("op/evacuate/"), std::string("op/evacuate/a/b"),
          std::string("op/evacuate/a b"), std::string("op/configs"),
          "op/evacuate/" + std::string(200, 'x')})
      CPPUNIT_ASSERT(decodeOperatorKey(Key).Kind == OperatorKeyKind::Invalid);
  }

  // Guards against evacuations that end because of an old read, and against a
  // log line for a bad key at each read.
  void followsEvacuations() {
    ConfigFollower Config{Prefix};
    Instant Now{std::int64_t{1'000'000}};
    ConfigActions Actions =
        Config.onStoreReply({.Entries = {{"op/config", "one", 7},
                                         {OwnDomainKey, "{}", 8},
                                         {"op/evacuate/", "{}", 5}},
                             .Revision = 9},
                            Now);
    CPPUNIT_ASSERT(Actions.NewConfig && Actions.NewConfig->Value == "one");
    CPPUNIT_ASSERT(Actions.Evacuations->Domains == DomainNames{"d1"});
    CPPUNIT_ASSERT(Actions.Evacuations->MayBeOld);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Actions.InvalidKeys.size());
    Actions = Config.onWatchUpdate(
        {.Changes = {{{"op/evacuate/d2", "{}", 10}, false}}, .Revision = 10},
        Now);
    CPPUNIT_ASSERT((Actions.Evacuations->Domains == DomainNames{"d1", "d2"}));
    CPPUNIT_ASSERT(!Actions.Evacuations->MayBeOld);
    // The read was made before the change.
    Actions = Config.onStoreReply(
        {.Entries = {{"op/evacuate/", "{}", 5}}, .Revision = 9}, Now);
    CPPUNIT_ASSERT(!Actions.Evacuations && Actions.InvalidKeys.empty());
    Config.onWatchUpdate({.Status = absl::UnavailableError("cut")}, Now);
    Actions =
        Config.onWatchUpdate({.Changes = {{{OwnDomainKey, "", 11}, true},
                                          {{"op/evacuate/d3", "{}", 12}, false},
                                          {{"op/evacuate/d3", "", 13}, true}},
                              .Revision = 13},
                             Now);
    CPPUNIT_ASSERT(Actions.Evacuations->Domains == DomainNames{"d2"});
    CPPUNIT_ASSERT((Actions.Evacuations->Ended == DomainNames{"d1", "d3"}));
    CPPUNIT_ASSERT(Actions.Evacuations->MayBeOld);
    // A store that came back from an older copy counts from there.
    Actions = Config.onStoreReply(
        {.Entries = {{OwnDomainKey, "{}", 8}}, .Revision = 9, .Era = 1}, Now);
    CPPUNIT_ASSERT(Actions.Evacuations->Domains == DomainNames{"d1"});
  }

  // Guards against a watch that the store forgot: other nodes of the failure
  // domain are evacuated, and this one hears of it only from them.
  void readsWhatOthersState() {
    EvacuableNode F;
    F.dispatch(ConfigReadReplied{{.Revision = 3}});
    F.addReadRoute();
    const std::string Other = "tcp://10.0.0.2:7100";
    routing::TargetStatus Status{.Process = 2,
                                 .Sequence = 2,
                                 .Target = {"i-2", 1, Other},
                                 .Service = "plain",
                                 .State = TargetState::Evacuated};
    int Reads = 0;
    for (int Round = 0; Round < 8; ++Round) {
      F.dispatch(PeerMessageReceived{Other, routing::StatusNotice{Status}});
      F.advance(milliseconds(500));
      if (!F.find<ReadConfig>())
        continue;
      ++Reads;
      // The store does not show it: its sender is cut off.
      F.dispatch(ConfigReadReplied{{.Revision = 4}});
    }
    CPPUNIT_ASSERT_EQUAL(1, Reads);
  }

  // Guards against evacuations that the target, its keys or other nodes do not
  // notice.
  void evacuatesTheTarget() {
    EvacuableNode F;
    // What a process before this one knew is unknown until the first read.
    CPPUNIT_ASSERT(F.Reducer.gate().state() == TargetState::Evacuated);
    F.dispatch(ConfigReadReplied{{.Revision = 3}});
    CPPUNIT_ASSERT(F.Reducer.gate().state() == TargetState::Ready);
    F.addReadRoute();
    F.advance(seconds(3));
    F.change(OwnDomainKey, 4);
    CPPUNIT_ASSERT(F.Reducer.gate().state() == TargetState::Evacuated);
    const auto *Notice = F.findMessage<routing::StatusNotice>();
    CPPUNIT_ASSERT(Notice && Notice->Status.State == TargetState::Evacuated);
    CPPUNIT_ASSERT(F.Reducer.membership().selfEntry().State ==
                   TargetState::Evacuated);
    CPPUNIT_ASSERT_EQUAL(1, F.countLogs(events::EvacuationsRead));
    // All targets of the route are in that domain.
    F.sendRead(1, seconds(2));
    CPPUNIT_ASSERT_EQUAL(503, F.find<ReplyToCaller>()->Answer.Status);
    // The store is lost meanwhile.
    F.dispatch(ConfigWatchUpdated{{.Status = absl::UnavailableError("cut")}});
    F.advance(seconds(20));
    CPPUNIT_ASSERT(F.Reducer.gate().state() == TargetState::Evacuated);
    F.change(OwnDomainKey, 5, true);
    CPPUNIT_ASSERT(F.Reducer.gate().state() == TargetState::Ready);
    CPPUNIT_ASSERT(F.Reducer.gate().isSuspectedCold());
  }

  // Guards against a grace that ends after the time for an evacuation: the
  // watch may deliver a change late after the process stood still or the store
  // was lost.
  void givesNoGraceForOldNews() {
    for (bool StandsStill : {false, true}) {
      EvacuableNode F;
      F.dispatch(ConfigReadReplied{{.Revision = 3}});
      F.advance(seconds(3));
      if (StandsStill) {
        F.Now = F.Now + seconds(4);
        F.dispatch(TimerTicked{});
      }
      F.change(OwnDomainKey, 4);
      bool Graced = false;
      for (const Effect &Output : F.Out)
        if (const auto *Record = std::get_if<LogRecord>(&Output))
          for (const LogField &Field : Record->Fields)
            Graced |= Field.Name == "grace_ms" && Field.Value == "2500";
      CPPUNIT_ASSERT_EQUAL(!StandsStill, Graced);
    }
  }

  // Guards against changes in deployments that evacuate no failure domains.
  void ignoresEvacuationsWithoutASetting() {
    SidecarOptions Options = newEvacuableOptions();
    Options.EvacuationTime = Duration(0);
    EvacuableNode F(Options);
    CPPUNIT_ASSERT(F.Reducer.gate().state() == TargetState::Ready);
    F.dispatch(ConfigReadReplied{
        {.Entries = {{OwnDomainKey, "{}", 3}}, .Revision = 3}});
    CPPUNIT_ASSERT_EQUAL(1, F.countLogs(events::OperatorKeyIgnored));
    F.addReadRoute();
    CPPUNIT_ASSERT(F.Reducer.gate().state() == TargetState::Ready);
    F.sendRead(1, seconds(2));
    CPPUNIT_ASSERT(F.findMessage<routing::Forward>());
  }

  // Guards against a log line in each tick, and against an evacuation that is
  // forgotten because the nodes of its failure domain join later.
  void logsUnknownPlacesOnce() {
    EvacuableNode F;
    F.dispatch(ConfigReadReplied{{.Revision = 3}});
    F.addReadRoute();
    F.change("op/evacuate/d9", 4);
    F.advance(seconds(20));
    CPPUNIT_ASSERT_EQUAL(1, F.countLogs(events::EvacuationOfUnknownDomain));
    CPPUNIT_ASSERT(F.Reducer.evacuatedDomains().contains("d9"));
    auto Table = std::make_shared<routing::RouteTable>();
    Table->Version = 5;
    routing::Route Limited{.Name = "a", .Host = "h", .Prefix = "/a/"};
    Limited.Services = {{"plain", 1}};
    Limited.AllowedRegions = {"r1", "r9"};
    Table->add(Limited);
    Table->finish();
    F.dispatch(ConfigDecoded{Table});
    F.advance(seconds(5));
    CPPUNIT_ASSERT_EQUAL(1, F.countLogs(events::RegionUnknown));
  }

  // Guards against keys that stay in, or go to, a region that the routes of
  // their service forbid, or a domain that is evacuated whatever the entries of
  // its nodes say so far.
  void plansKeysWithinTheLimits() {
    keyspace::KeyMap Map{.Service = "keyed", .LastFence = 4};
    for (std::uint32_t Part = 0; Part < 4; ++Part)
      Map.Rows.push_back({.Keys = {Part * 16384, Part * 16384 + 16383},
                          .Owner = {"i-1", 1, testing::OwnAddress},
                          .Fence = Part + 1});
    EvacuableNode F(newEvacuableOptions(), &Map);
    F.dispatch(ConfigReadReplied{
        {.Entries = {{"op/evacuate/d3", "{}", 3}}, .Revision = 3}});
    for (const std::string Number : {"1", "2", "3"}) {
      NodeEntry Entry;
      Entry.Node = "tcp://10.0.0." + Number + ":7100";
      Entry.Process = 1;
      Entry.Place = {"d" + Number, Number == "1" ? "r1" : "r2"};
      Entry.Target = {"i-" + Number, 1, Entry.Node};
      Entry.Service = "keyed";
      Entry.State = TargetState::Ready;
      F.dispatch(PeerMessageReceived{
          Entry.Node, routing::NodeNotice{20, encodeNodeEntry(Entry)}});
    }
    auto Table = std::make_shared<routing::RouteTable>();
    Table->Version = 5;
    Table->Services["keyed"] = {"keyed", "/health", 0, true};
    routing::Route Limited{.Name = "a", .Host = "h", .Prefix = "/a/"};
    Limited.Services = {{"keyed", 1}};
    Limited.AllowedRegions = {"r2"};
    Table->add(Limited);
    Table->finish();
    F.dispatch(ConfigDecoded{Table});
    F.advance(milliseconds(200));
    std::optional<keyspace::KeyMap> Plan;
    for (const Effect &Output : F.Out) {
      const auto *Call = std::get_if<CallStore>(&Output);
      const auto *Txn =
          Call ? std::get_if<StoreTxn>(&Call->Request.Body) : nullptr;
      if (Txn && Txn->Puts.front().Key == std::string(KeysPrefix) + "keyed")
        Plan = *keyspace::decodeKeyMap(Txn->Puts.front().Value);
    }
    CPPUNIT_ASSERT(Plan);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Plan->Rows.size());
    for (const keyspace::KeyRow &Row : Plan->Rows)
      CPPUNIT_ASSERT_EQUAL(std::string("i-2"), Row.Next.Instance);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementLimitsTest);

} // namespace
} // namespace orioledoor::sidecar
