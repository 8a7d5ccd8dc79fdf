// Tests of the smaller parts of the request path: message codec, retry budget,
// service time measurements and target choice.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>
#include <string>

#include "orioledoor/routing/message_codec.h"
#include "orioledoor/routing/retry_budget.h"
#include "orioledoor/routing/target_directory.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr WorkId Call = 1;
constexpr WorkId Long = 2;

TargetStatus statusOf(const std::string &Node, std::uint32_t Running,
                      std::uint64_t Sequence = 1) {
  return {.Process = 1,
          .Sequence = Sequence,
          .Target = {"i", 1, Node},
          .Service = "plain",
          .State = TargetState::Ready,
          .Slots = 10,
          .Running = Running,
          .ServiceTime = milliseconds(100)};
}

// A directory with two targets. The first is in the directory's failure domain;
// the second is in another region if Far is set.
struct TwoTargets {
  TwoTargets(const char *First, const char *Second, bool Far = false)
      : Directory({"d1", "r1"}, "own") {
    this->Directory.setNode(First, {"d1", "r1"});
    this->Directory.setNode(Second,
                            Far ? Location{"d2", "r2"} : Location{"d1", "r1"});
  }

  std::string choose(const ChoiceInput &Input) const {
    return *this->Directory.choose(Input, this->Now).Node;
  }

  TargetDirectory Directory;
  Instant Now{std::int64_t{1'000'000}};
};

class RoutingPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingPartsTest);
  CPPUNIT_TEST(messagesSurviveTheWire);
  CPPUNIT_TEST(readsRequestsOfTheReleaseBefore);
  CPPUNIT_TEST(refusesBytesThatAreNoMessage);
  CPPUNIT_TEST(budgetBoundsRetriesInAnyWindow);
  CPPUNIT_TEST(uploadsStayNear);
  CPPUNIT_TEST(avoidsUnreachableNodes);
  CPPUNIT_TEST(triesNewTargets);
  CPPUNIT_TEST(tellsShortWorkFromAFastTarget);
  CPPUNIT_TEST(usesNewTargetsOnAQuietDay);
  CPPUNIT_TEST(triesSlowTargetsAgain);
  CPPUNIT_TEST(leavesANearTargetThatTurnsSlow);
  CPPUNIT_TEST(triesAnUnknownTargetWithOneRequest);
  CPPUNIT_TEST(ownStatusDoesNotMoveTheBaseline);
  CPPUNIT_TEST(measuresWorkByKind);
  CPPUNIT_TEST(ignoresLateStatus);
  CPPUNIT_TEST_SUITE_END();

public:
  void messagesSurviveTheWire() {
    auto Content = std::make_shared<RequestContent>();
    Content->Method = "POST";
    Content->Target = "/a?b";
    Content->Host = "h";
    Content->Headers = {{"X", "1"}, {"X", "2"}};
    Content->Body = std::string("\0\xff", 2);
    Forward Sent{.Id = 7, .Process = 8, .Service = "s", .AttemptId = "a"};
    Sent.TimeLeft = milliseconds(900);
    Sent.LatencyLeft = milliseconds(-5);
    Sent.Key = 65535;
    Sent.WorthwhileWait = milliseconds(12);
    Sent.ConfigVersion = 12;
    Sent.Content = Content;
    auto Back = decodeMessage(encodeMessage(Sent));
    CPPUNIT_ASSERT(Back.ok());
    const auto &Read = std::get<Forward>(*Back);
    CPPUNIT_ASSERT(Read.Id == 7 && Read.Process == 8 && Read.Key == 65535);
    CPPUNIT_ASSERT(Read.ConfigVersion == 12);
    CPPUNIT_ASSERT(Read.LatencyLeft == milliseconds(-5));
    CPPUNIT_ASSERT(Read.WorthwhileWait == milliseconds(12));
    CPPUNIT_ASSERT(Read.Content->Body == Content->Body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Read.Content->Headers.size());

    ForwardResult Result{.Id = 7, .Ended = Outcome::Busy};
    Result.Status = statusOf("n", 3);
    Result.Status.Times = {{Call, milliseconds(30)}, {Long, milliseconds(160)}};
    Result.ConfigVersion = 13;
    Back = decodeMessage(encodeMessage(Result));
    CPPUNIT_ASSERT(std::get<ForwardResult>(*Back).ConfigVersion == 13);
    CPPUNIT_ASSERT(std::get<ForwardResult>(*Back).Status.Times ==
                   Result.Status.Times);
    CPPUNIT_ASSERT(std::get<ForwardResult>(*Back).Status.Running == 3);
    KeyLoadNotice Load{.Service = "s", .Rate = 1.5, .Quantiles = {1, 2, 2}};
    Back = decodeMessage(encodeMessage(Load));
    CPPUNIT_ASSERT(std::get<KeyLoadNotice>(*Back).Quantiles == Load.Quantiles);
    Back = decodeMessage(encodeMessage(ForwardBody{7, 8, Content->Body}));
    CPPUNIT_ASSERT(std::get<ForwardBody>(*Back).Body == Content->Body);
    Back = decodeMessage(encodeMessage(FetchBody{7, 8}));
    CPPUNIT_ASSERT(std::get<FetchBody>(*Back).Id == 7);
    Back =
        decodeMessage(encodeMessage(ResumeForward{7, 8, 9, milliseconds(700)}));
    CPPUNIT_ASSERT(std::get<ResumeForward>(*Back).SentAgo == milliseconds(700));
    Back = decodeMessage(encodeMessage(FetchConfig{41}));
    CPPUNIT_ASSERT(Back.ok() && std::get<FetchConfig>(*Back).Known == 41);
    Back = decodeMessage(encodeMessage(ConfigNotice{Content->Body}));
    CPPUNIT_ASSERT(Back.ok() &&
                   std::get<ConfigNotice>(*Back).Document == Content->Body);
    Back = decodeMessage(encodeMessage(KeyMapNotice{9, "{}"}));
    CPPUNIT_ASSERT(std::get<KeyMapNotice>(*Back).Revision == 9);
  }

  // Guards against nodes of two releases that reject each other's requests
  // during a rolling update.
  void readsRequestsOfTheReleaseBefore() {
    Forward Sent{.Id = 7, .Process = 8, .Service = "s", .AttemptId = "a"};
    Sent.Content = std::make_shared<RequestContent>();
    // The version is the last byte; the first three bytes encode the array
    // length.
    std::string Bytes = encodeMessage(Sent);
    CPPUNIT_ASSERT_EQUAL('\xdc', Bytes[0]);
    CPPUNIT_ASSERT_EQUAL('\x00', Bytes.back());
    Bytes.pop_back();
    --Bytes[2];
    auto Back = decodeMessage(Bytes);
    CPPUNIT_ASSERT(Back.ok());
    CPPUNIT_ASSERT(std::get<Forward>(*Back).Id == 7);
    CPPUNIT_ASSERT(std::get<Forward>(*Back).ConfigVersion == 0);
  }

  void refusesBytesThatAreNoMessage() {
    CPPUNIT_ASSERT(!decodeMessage("").ok());
    CPPUNIT_ASSERT(!decodeMessage("\x91\x63").ok());
    std::string Bytes = encodeMessage(StatusNotice{statusOf("n", 3)});
    std::mt19937 Random(3);
    for (int Round = 0; Round < 3000; ++Round) {
      std::string Broken = Bytes;
      Broken[Random() % Broken.size()] = static_cast<char>(Random());
      if (Round % 3 == 0)
        Broken.resize(Random() % Broken.size());
      // Decoding may succeed or fail, but must not crash.
      (void)decodeMessage(Broken);
    }
  }

  // A burst of retries after a lost target must not exceed the limit per
  // window.
  void budgetBoundsRetriesInAnyWindow() {
    RetryBudget Budget({.Ratio = 0.1, .ExtraPerWindow = 2});
    Instant Now{std::int64_t{1}};
    int Taken = 0;
    for (int Request = 0; Request < 1000; ++Request) {
      Now = Now + milliseconds(10);
      Budget.noteRequest();
      while (Budget.take(Now))
        ++Taken;
    }
    // 1000 requests in one window: a tenth of them, the constant twice (the
    // bucket is full at the start), and the saved tokens.
    CPPUNIT_ASSERT(Taken <= 100 + 4 + 8);
    CPPUNIT_ASSERT(Taken >= 95);
  }

  // Traffic between failure domains has a cost per byte, so an upload prefers
  // waiting at the near target.
  void uploadsStayNear() {
    TwoTargets Two("near", "far", true);
    auto &[Directory, Now] = Two;
    Directory.update(statusOf("near", 12), Now);
    Directory.update(statusOf("far", 0), Now);
    CPPUNIT_ASSERT_EQUAL(std::string("near"),
                         Two.choose({.Service = "plain", .Bytes = 60 << 10}));
    CPPUNIT_ASSERT_EQUAL(std::string("far"),
                         Two.choose({.Service = "plain", .Bytes = 100}));
  }

  void avoidsUnreachableNodes() {
    TwoTargets Two("near", "far", true);
    auto &[Directory, Now] = Two;
    Directory.update(statusOf("near", 0), Now);
    Directory.update(statusOf("far", 0), Now);
    Directory.noteUnreachable("near", Now);
    auto Choice = Directory.choose({.Service = "plain"}, Now);
    CPPUNIT_ASSERT_EQUAL(std::string("far"), *Choice.Node);
    Directory.noteReached("near");
    Choice = Directory.choose({.Service = "plain"}, Now);
    CPPUNIT_ASSERT_EQUAL(std::string("near"), *Choice.Node);
    Directory.removeNode("near");
    Directory.removeNode("far");
    CPPUNIT_ASSERT(!Directory.choose({.Service = "plain"}, Now).Node);
  }

  void triesNewTargets() {
    TwoTargets Two("a", "b");
    auto &[Directory, Now] = Two;
    TargetStatus Known = statusOf("a", 5);
    Known.ServiceTime = milliseconds(20);
    TargetStatus New = statusOf("b", 0);
    New.ServiceTime = Duration(0);
    Directory.update(Known, Now);
    Directory.update(New, Now);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Two.choose({.Service = "plain"}));
  }

  // Guards against comparing targets by their mean over all request classes: a
  // target that ran only short requests has a low mean and attracted the long
  // requests of all nodes.
  void tellsShortWorkFromAFastTarget() {
    TwoTargets Two("calls", "mixed");
    auto &[Directory, Now] = Two;
    TargetStatus Calls = statusOf("calls", 6);
    Calls.ServiceTime = milliseconds(40);
    Calls.Times = {{Call, milliseconds(40)}};
    TargetStatus Mixed = statusOf("mixed", 5);
    Mixed.ServiceTime = milliseconds(120);
    Mixed.Times = {{Call, milliseconds(30)}, {Long, milliseconds(160)}};
    Directory.update(Calls, Now);
    Directory.update(Mixed, Now);
    for (WorkId Work : {Call, Long})
      CPPUNIT_ASSERT_EQUAL(std::string("mixed"),
                           Two.choose({.Service = "plain", .Work = Work}));
  }

  // Guards against a new target that gets no requests because the known target
  // is fast enough under low load.
  void usesNewTargetsOnAQuietDay() {
    TwoTargets Two("known", "new");
    auto &[Directory, Now] = Two;
    TargetStatus Known = statusOf("known", 1);
    Known.Times = {{Long, milliseconds(100)}};
    Directory.update(Known, Now);
    Known.Sequence = 2;
    Known.Times = {{Long, milliseconds(110)}};
    Directory.update(Known, Now);
    TargetStatus New = statusOf("new", 0);
    New.ServiceTime = Duration(0);
    Directory.update(New, Now);
    CPPUNIT_ASSERT_EQUAL(std::string("new"),
                         Two.choose({.Service = "plain", .Work = Long}));
  }

  // Guards against a target that is never used again because it was cold or
  // slow when it was last used.
  void triesSlowTargetsAgain() {
    TwoTargets Two("slow", "usual");
    auto &[Directory, Now] = Two;
    TargetStatus Slow = statusOf("slow", 0);
    Slow.Times = {{Long, milliseconds(300)}};
    Slow.FailureShare = 0.5;
    Directory.update(Slow, Now);
    ChoiceInput Input{.Service = "plain", .Work = Long};
    std::uint64_t Sequence = 1;
    auto Chosen = [&] {
      TargetStatus Usual = statusOf("usual", 4, ++Sequence);
      Usual.Times = {{Long, milliseconds(100)}};
      Directory.update(Usual, Now);
      return Two.choose(Input);
    };
    CPPUNIT_ASSERT_EQUAL(std::string("usual"), Chosen());
    Now = Now + seconds(3);
    CPPUNIT_ASSERT_EQUAL(std::string("usual"), Chosen());
    Now = Now + seconds(6);
    CPPUNIT_ASSERT_EQUAL(std::string("slow"), Chosen());
  }

  // Guards against a baseline that follows the only target in use: when that
  // target turns slow, the other one must look faster.
  void leavesANearTargetThatTurnsSlow() {
    TwoTargets Two("near", "far", true);
    auto &[Directory, Now] = Two;
    Directory.update(statusOf("far", 0), Now);
    auto Report = [&](std::uint64_t Sequence, Duration Takes) {
      TargetStatus Near = statusOf("near", 1, Sequence);
      Near.Times = {{Long, Takes}};
      Directory.update(Near, Now);
      return Two.choose({.Service = "plain", .Work = Long});
    };
    CPPUNIT_ASSERT_EQUAL(std::string("near"), Report(2, milliseconds(100)));
    CPPUNIT_ASSERT_EQUAL(std::string("far"), Report(3, milliseconds(200)));
  }

  // Guards against all nodes sending everything to a target that is new or was
  // unreachable before its first answers show how fast it is.
  void triesAnUnknownTargetWithOneRequest() {
    TwoTargets Two("known", "new");
    auto &[Directory, Now] = Two;
    TargetStatus Known = statusOf("known", 4);
    Known.Times = {{Long, milliseconds(100)}};
    Directory.update(Known, Now);
    TargetStatus New = statusOf("new", 0);
    Directory.update(New, Now);
    ChoiceInput Input{.Service = "plain", .Work = Long};
    auto Chosen = [&] {
      std::string Node = Two.choose(Input);
      Directory.noteSent(Node);
      return Node;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("new"), Chosen());
    CPPUNIT_ASSERT_EQUAL(std::string("known"), Chosen());
    Directory.noteEnded("new");
    Directory.noteUnreachable("new", Now);
    CPPUNIT_ASSERT_EQUAL(std::string("known"), Chosen());
    Now = Now + milliseconds(600);
    CPPUNIT_ASSERT_EQUAL(std::string("new"), Chosen());
    CPPUNIT_ASSERT_EQUAL(std::string("known"), Chosen());
  }

  // A node updates the status of its own target fifty times per second. If each
  // update raised the baseline, a slow target would look normal after ten idle
  // seconds.
  void ownStatusDoesNotMoveTheBaseline() {
    TwoTargets Two("slow", "other");
    auto &[Directory, Now] = Two;
    TargetStatus Slow = statusOf("slow", 0);
    Slow.Times = {{Long, milliseconds(100)}};
    Directory.update(Slow, Now);
    Slow.Times = {{Long, milliseconds(300)}};
    for (int I = 0; I < 5000; ++I) {
      ++Slow.Sequence;
      Directory.update(Slow, Now);
    }
    Directory.update(statusOf("other", 0), Now);
    Duration Expected =
        Directory.costOf("other", *Directory.find("other"),
                         {.Service = "plain", .Work = Long}, Now);
    CPPUNIT_ASSERT(Expected < milliseconds(110));
  }

  void measuresWorkByKind() {
    WorkTimes Times;
    Instant Now{std::int64_t{1'000'000}};
    CPPUNIT_ASSERT(Times.of(Long, Now) == Duration(0));
    for (int I = 0; I < 50; ++I) {
      Times.note(Long, milliseconds(150), Now);
      Times.note(Call, milliseconds(30), Now);
    }
    CPPUNIT_ASSERT(Times.of(Long, Now) == milliseconds(150));
    CPPUNIT_ASSERT(Times.of(Call, Now) == milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Times.recent(Now).size());
    Now = Now + seconds(5);
    CPPUNIT_ASSERT(Times.recent(Now).empty());
    // The first sample after a pause counts in full.
    Times.note(Long, milliseconds(90), Now);
    CPPUNIT_ASSERT(Times.of(Long, Now) == milliseconds(90));
    // Memory stays bounded when routes are added and removed.
    for (WorkId Work = 100; Work < 200; ++Work)
      Times.note(Work, milliseconds(1), Now);
    CPPUNIT_ASSERT(Times.recent(Now).size() <= 8);
  }

  void ignoresLateStatus() {
    TargetDirectory Directory({"d1", "r1"}, "own");
    Instant Now{std::int64_t{1'000'000}};
    Directory.setNode("a", {"d1", "r1"});
    Directory.update(statusOf("a", 5, 9), Now);
    Directory.update(statusOf("a", 1, 8), Now);
    CPPUNIT_ASSERT_EQUAL(5U, Directory.find("a")->Status.Running);
    // The sequence numbers of another process start again at one.
    TargetStatus Other = statusOf("a", 2, 1);
    Other.Process = 2;
    Directory.update(Other, Now);
    CPPUNIT_ASSERT_EQUAL(2U, Directory.find("a")->Status.Running);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingPartsTest);

} // namespace
} // namespace orioledoor::routing
