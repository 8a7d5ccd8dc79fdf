// Guards the node as a whole where its parts meet: readiness, the stop, and the
// answers to reports that wait for keys.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>

#include "orioledoor/keyspace/key_planner.h"
#include "orioledoor/routing/events.h"
#include "orioledoor/sidecar/reducer.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char Own[] = "tcp://10.0.0.1:7100";
constexpr char Other[] = "tcp://10.0.0.2:7100";

SidecarOptions options() {
  SidecarOptions Options;
  Options.Node = Own;
  Options.Process = 1;
  Options.Place = {"d1", "r1"};
  Options.Service = "keyed";
  return Options;
}

class Fixture {
public:
  explicit Fixture(const SidecarOptions &Given = options()) : Node(Given) {
    this->feed(Started{});
  }

  void feed(Event Happened) {
    this->Out = this->Node.handle(std::move(Happened), this->Now);
  }
  void pass(Duration Time) {
    Instant End = this->Now + Time;
    Effects All;
    while (this->Now < End) {
      this->Now = this->Now + milliseconds(20);
      for (Effect &Each : this->Node.handle(TimerTicked{}, this->Now))
        All.push_back(std::move(Each));
    }
    this->Out = std::move(All);
  }
  template <typename T> const T *find() const {
    for (const Effect &Each : this->Out)
      if (const auto *Found = std::get_if<T>(&Each))
        return Found;
    return nullptr;
  }
  template <typename T> const T *findMessage() const {
    for (const Effect &Each : this->Out)
      if (const auto *Sent = std::get_if<SendMessage>(&Each))
        if (const auto *Found = std::get_if<T>(&Sent->Body))
          return Found;
    return nullptr;
  }
  // What a request gets for which there is no route.
  int statusOf(std::uint64_t Caller) {
    this->feed(CallerRequestReceived{
        {.Caller = Caller,
         .AttemptId = "a",
         .Content = std::make_shared<routing::RequestContent>()}});
    const auto *Reply = this->find<ReplyToCaller>();
    CPPUNIT_ASSERT(Reply);
    return Reply->Answer.Status;
  }
  // Answers the open store call.
  void reply(StoreReply Reply) {
    const auto *Call = this->find<CallStore>();
    CPPUNIT_ASSERT(Call);
    Reply.Id = Call->Request.Id;
    this->feed(StoreReplyReceived{std::move(Reply)});
  }
  void join(const keyspace::KeyMap *Map = nullptr) {
    auto Table = std::make_shared<routing::RouteTable>();
    Table->Version = 1;
    Table->Services["keyed"] = {"keyed", "/health", 0, true};
    Table->finish();
    StoreReply Granted{.Lease = 5, .TimeToLive = seconds(3)};
    this->reply(Granted);
    StoreReply Written{.Succeeded = true, .Revision = 10};
    this->reply(Written);
    StoreReply Read{.Revision = 10};
    NodeEntry Entry;
    Entry.Node = Own;
    Entry.Process = 1;
    Read.Entries = {
        {keyspace::KeyPlanner::nodeEntryKey(Own), encodeNodeEntry(Entry), 10}};
    if (Map)
      Read.Entries.push_back(
          {std::string(KeysPrefix) + "keyed", keyspace::encodeKeyMap(*Map), 9});
    this->reply(Read);
    this->feed(ConfigDecoded{Table});
  }
  void report(std::int64_t Sequence) {
    routing::TargetReport Report;
    Report.Instance = "i-1";
    Report.Service = "keyed";
    Report.Slots = 2;
    Report.Born = 1;
    Report.Sequence = Sequence;
    this->feed(
        TargetReportReceived{static_cast<std::uint64_t>(Sequence), Report});
  }

  Instant Now{std::int64_t{10'000'000}};
  SidecarReducer Node;
  Effects Out;
};

keyspace::KeyMap mapOf(const routing::TargetRef &Owner,
                       const routing::TargetRef &Next) {
  keyspace::KeyMap Map;
  Map.Service = "keyed";
  Map.LastFence = 1;
  Map.Rows = {{{0, keyspace::LastKey}, Owner, 1, "", Next}};
  return Map;
}

class ReducerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReducerTest);
  CPPUNIT_TEST(isReadyOnceItKnowsRoutesAndMembers);
  CPPUNIT_TEST(answersOpenRequestsBeforeItExits);
  CPPUNIT_TEST(refusesWhatComesLateInTheStop);
  CPPUNIT_TEST(holdsAnAnswerBackForKeys);
  CPPUNIT_TEST(neverGoesBackToAnOlderConfiguration);
  CPPUNIT_TEST(takesAConfigurationFromAnotherNode);
  CPPUNIT_TEST(keepsALinkFreeOfConfigurations);
  CPPUNIT_TEST_SUITE_END();

public:
  void isReadyOnceItKnowsRoutesAndMembers() {
    Fixture F;
    CPPUNIT_ASSERT(!F.Node.ready());
    F.feed(CallerRequestReceived{
        {.Caller = 1,
         .AttemptId = "a",
         .Content = std::make_shared<routing::RequestContent>()}});
    CPPUNIT_ASSERT_EQUAL(503, F.find<ReplyToCaller>()->Answer.Status);
    Fixture G;
    G.join();
    CPPUNIT_ASSERT(G.Node.ready());
    G.feed(StopRequested{});
    CPPUNIT_ASSERT(!G.Node.ready());
  }

  // The process left while answers stood in its buffers and callers had not
  // heard that it stops.
  void answersOpenRequestsBeforeItExits() {
    Fixture F;
    F.join();
    F.feed(StopRequested{});
    F.pass(milliseconds(2500));
    CPPUNIT_ASSERT(!F.find<StopAccepting>() && !F.find<Exit>());
    F.pass(milliseconds(200));
    CPPUNIT_ASSERT(F.find<StopAccepting>() && !F.find<Exit>());
    F.pass(milliseconds(250));
    CPPUNIT_ASSERT(!F.find<Exit>());
    F.pass(milliseconds(300));
    CPPUNIT_ASSERT(F.find<Exit>());
  }

  // Guards against requests over kept connections that are taken seconds after
  // the signal and given up when the process ends.
  void refusesWhatComesLateInTheStop() {
    Fixture F;
    F.join();
    F.feed(StopRequested{});
    auto Content = std::make_shared<routing::RequestContent>();
    auto StatusAfter = [&](Duration Time) {
      F.pass(Time);
      F.feed(CallerRequestReceived{{.Caller = 1,
                                    .AttemptId = "a",
                                    .FirstByteAt = F.Now,
                                    .Content = Content}});
      const auto *Reply = F.find<ReplyToCaller>();
      CPPUNIT_ASSERT(Reply);
      // An engineer who has only the id must find why.
      const auto *Line = F.find<LogRecord>();
      CPPUNIT_ASSERT(Line && Line->Event == &routing::events::RequestRefused);
      return Reply->Answer.Status;
    };
    // No route matches; the answer shows that the request was taken.
    CPPUNIT_ASSERT_EQUAL(404, StatusAfter(milliseconds(2900)));
    CPPUNIT_ASSERT_EQUAL(503, StatusAfter(milliseconds(100)));
  }

  // Pattern: hot keys that change hands. Without this they wait for the next
  // report of their new owner, 435 ms on average.
  void holdsAnAnswerBackForKeys() {
    routing::TargetRef Self{"i-1", 1, Own};
    routing::TargetRef Before{"i-2", 1, Other};
    keyspace::KeyMap Map = mapOf(Before, Self);
    Fixture F;
    F.join(&Map);
    F.report(1);
    CPPUNIT_ASSERT(!F.find<ReplyToReport>());
    F.pass(milliseconds(100));
    CPPUNIT_ASSERT(!F.find<ReplyToReport>());
    keyspace::KeyMap Moved = mapOf(Self, {});
    Moved.Rows[0].Fence = 2;
    F.feed(PeerMessageReceived{
        Other, routing::KeyMapNotice{11, keyspace::encodeKeyMap(Moved)}});
    CPPUNIT_ASSERT(F.find<ReplyToReport>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         F.find<ReplyToReport>()->Answer.Grants.size());
    // The target counts an answer within a second only.
    Fixture G;
    G.join(&Map);
    G.report(1);
    G.pass(milliseconds(640));
    CPPUNIT_ASSERT(G.find<ReplyToReport>());
    CPPUNIT_ASSERT(G.find<ReplyToReport>()->Answer.Grants.empty());
  }

  void neverGoesBackToAnOlderConfiguration() {
    Fixture F;
    F.join();
    auto Newer = std::make_shared<routing::RouteTable>();
    Newer->Version = 9;
    F.feed(ConfigDecoded{Newer});
    auto Older = std::make_shared<routing::RouteTable>();
    Older->Version = 8;
    F.feed(ConfigDecoded{Older});
    CPPUNIT_ASSERT(F.Node.entry().table()->Version == 9);
  }

  // Guards against a VM that the store turns away for seconds and that answers
  // 404 for routes which every other node serves.
  void takesAConfigurationFromAnotherNode() {
    Fixture Ahead;
    Ahead.join();
    auto Newer = tableOf(9);
    Ahead.feed(ConfigDecoded{Newer});
    Fixture Behind;
    Behind.join();
    CPPUNIT_ASSERT_EQUAL(404, Behind.statusOf(1));
    // Any request or result says which version its sender has in force.
    routing::Forward Request;
    Request.Content = std::make_shared<routing::RequestContent>();
    Behind.feed(PeerMessageReceived{Other, Request});
    const auto *Refused = Behind.find<SendMessage>();
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{1},
        std::get<routing::ForwardResult>(Refused->Body).ConfigVersion);
    Request.ConfigVersion = 9;
    Behind.feed(PeerMessageReceived{Other, Request});
    CPPUNIT_ASSERT_EQUAL(503, Behind.statusOf(2));
    Behind.pass(milliseconds(300));
    // The first read of the start is still open; it fails.
    Behind.feed(
        ConfigReadReplied{{.Status = absl::UnavailableError("cut off")}});
    Behind.pass(milliseconds(40));
    const auto *Asked = Behind.findMessage<routing::FetchConfig>();
    CPPUNIT_ASSERT(Asked && Asked->Known == 1);
    Ahead.feed(PeerMessageReceived{Other, *Asked});
    const auto *Notice = Ahead.findMessage<routing::ConfigNotice>();
    CPPUNIT_ASSERT(Notice && Notice->Document == Newer->Document);
    Behind.feed(PeerMessageReceived{Other, *Notice});
    const auto *Document = Behind.find<DecodeConfig>();
    CPPUNIT_ASSERT(Document && Document->Document == Newer->Document &&
                   Document->Node == Other);
    Behind.feed(ConfigDecoded{Newer, Other});
    CPPUNIT_ASSERT(Behind.find<ApplyLimits>());
    CPPUNIT_ASSERT(Behind.Node.entry().table()->Version == 9);
    CPPUNIT_ASSERT_EQUAL(404, Behind.statusOf(3));
    // What is not newer is neither sent nor taken.
    Ahead.feed(PeerMessageReceived{Other, routing::FetchConfig{9}});
    CPPUNIT_ASSERT(!Ahead.findMessage<routing::ConfigNotice>());
    Behind.feed(ConfigDecoded{tableOf(8), Other});
    CPPUNIT_ASSERT(!Behind.find<ApplyLimits>());
  }

  // Pattern: many nodes are behind after a cut, and one whose link has 1 MB/s
  // is ahead. Its requests must not wait for configurations.
  void keepsALinkFreeOfConfigurations() {
    SidecarOptions Slow = options();
    Slow.LinkBytesPerSecond = 1e6;
    Fixture F(Slow);
    F.join();
    auto Table = tableOf(9);
    Table->Document = std::string(100'000, 'x');
    F.feed(ConfigDecoded{Table});
    int Sent = 0;
    for (int Turn = 0; Turn < 40; ++Turn) {
      F.feed(PeerMessageReceived{Other, routing::FetchConfig{1}});
      Sent += F.findMessage<routing::ConfigNotice>() ? 1 : 0;
      F.pass(milliseconds(20));
    }
    CPPUNIT_ASSERT_EQUAL(2, Sent);
  }

private:
  static std::shared_ptr<routing::RouteTable> tableOf(std::uint64_t Version) {
    auto Table = std::make_shared<routing::RouteTable>();
    Table->Version = Version;
    Table->Document = "document " + std::to_string(Version);
    return Table;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReducerTest);

} // namespace
} // namespace orioledoor::sidecar
