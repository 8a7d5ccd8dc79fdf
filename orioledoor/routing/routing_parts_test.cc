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

constexpr RequestClassId ShortClass = 1;
constexpr RequestClassId LongClass = 2;

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
// the second is in another region if OtherRegion is set.
struct TwoTargets {
  TwoTargets(const char *First, const char *Second, bool OtherRegion = false)
      : Directory({"d1", "r1"}, "own") {
    this->Directory.setNode(First, {"d1", "r1"});
    this->Directory.setNode(Second, OtherRegion ? Location{"d2", "r2"}
                                                : Location{"d1", "r1"});
  }

  std::string choose(const ChoiceInput &Input) {
    return *this->Directory.choose(Input, this->Now).Node;
  }

  TargetDirectory Directory;
  Instant Now{std::int64_t{1'000'000}};
};

class RoutingPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingPartsTest);
  CPPUNIT_TEST(messagesRoundTrip);
  CPPUNIT_TEST(decodesRequestsOfThePreviousRelease);
  CPPUNIT_TEST(carriesTheRateLimitInTheStatus);
  CPPUNIT_TEST(carriesTheLoadInTheStatus);
  CPPUNIT_TEST(answersWithImpossibleStatusesAreLost);
  CPPUNIT_TEST(rejectsInvalidMessages);
  CPPUNIT_TEST(budgetLimitsRetriesPerWindow);
  CPPUNIT_TEST(uploadsStayNear);
  CPPUNIT_TEST(avoidsUnreachableNodes);
  CPPUNIT_TEST(triesNewTargets);
  CPPUNIT_TEST(comparesTargetsByRequestClass);
  CPPUNIT_TEST(usesNewTargetsUnderLowLoad);
  CPPUNIT_TEST(triesSlowTargetsAgain);
  CPPUNIT_TEST(avoidsANearTargetThatBecomesSlow);
  CPPUNIT_TEST(probesAnUnmeasuredTargetWithOneRequest);
  CPPUNIT_TEST(repeatedStatusDoesNotRaiseTheBaseline);
  CPPUNIT_TEST(measuresByRequestClass);
  CPPUNIT_TEST(ignoresStaleStatus);
  CPPUNIT_TEST_SUITE_END();

public:
  void messagesRoundTrip() {
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
    Sent.MaxUsefulWait = milliseconds(12);
    Sent.ConfigVersion = 12;
    Sent.Content = Content;
    auto Decoded = decodeMessage(encodeMessage(Sent));
    CPPUNIT_ASSERT(Decoded.ok());
    const auto &Read = std::get<Forward>(*Decoded);
    CPPUNIT_ASSERT(Read.Id == 7 && Read.Process == 8 && Read.Key == 65535);
    CPPUNIT_ASSERT(Read.ConfigVersion == 12);
    CPPUNIT_ASSERT(Read.LatencyLeft == milliseconds(-5));
    CPPUNIT_ASSERT(Read.MaxUsefulWait == milliseconds(12));
    CPPUNIT_ASSERT(Read.Content->Body == Content->Body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Read.Content->Headers.size());

    ForwardResult Result{.Id = 7, .Code = Outcome::Busy};
    Result.Status = statusOf("n", 3);
    Result.Status.Times = {{ShortClass, milliseconds(30)},
                           {LongClass, milliseconds(160)}};
    Result.ConfigVersion = 13;
    Decoded = decodeMessage(encodeMessage(Result));
    CPPUNIT_ASSERT(std::get<ForwardResult>(*Decoded).ConfigVersion == 13);
    CPPUNIT_ASSERT(std::get<ForwardResult>(*Decoded).Status.Times ==
                   Result.Status.Times);
    CPPUNIT_ASSERT(std::get<ForwardResult>(*Decoded).Status.Running == 3);
    KeyLoadNotice Load{.Service = "s", .Rate = 1.5, .Quantiles = {1, 2, 2}};
    Decoded = decodeMessage(encodeMessage(Load));
    CPPUNIT_ASSERT(std::get<KeyLoadNotice>(*Decoded).Quantiles ==
                   Load.Quantiles);
    Decoded = decodeMessage(encodeMessage(ForwardBody{7, 8, Content->Body}));
    CPPUNIT_ASSERT(std::get<ForwardBody>(*Decoded).Body == Content->Body);
    Decoded = decodeMessage(encodeMessage(FetchBody{7, 8}));
    CPPUNIT_ASSERT(std::get<FetchBody>(*Decoded).Id == 7);
    Decoded =
        decodeMessage(encodeMessage(ResumeForward{7, 8, 9, milliseconds(700)}));
    CPPUNIT_ASSERT(std::get<ResumeForward>(*Decoded).SentAgo ==
                   milliseconds(700));
    Decoded = decodeMessage(encodeMessage(FetchConfig{41}));
    CPPUNIT_ASSERT(Decoded.ok() &&
                   std::get<FetchConfig>(*Decoded).KnownVersion == 41);
    Decoded = decodeMessage(encodeMessage(ConfigNotice{Content->Body}));
    CPPUNIT_ASSERT(Decoded.ok() &&
                   std::get<ConfigNotice>(*Decoded).Document == Content->Body);
    Decoded = decodeMessage(encodeMessage(KeyMapNotice{9, "{}"}));
    CPPUNIT_ASSERT(std::get<KeyMapNotice>(*Decoded).Revision == 9);
    Decoded = decodeMessage(encodeMessage(KeyMapChangeNotice{9, 11, 7, "{}"}));
    CPPUNIT_ASSERT(Decoded.ok());
    const auto &Change = std::get<KeyMapChangeNotice>(*Decoded);
    CPPUNIT_ASSERT(Change.BaseRevision == 9 && Change.Revision == 11 &&
                   Change.Checksum == 7 && Change.Change == "{}");
    Decoded = decodeMessage(encodeMessage(CrashCleared{13}));
    CPPUNIT_ASSERT(Decoded.ok() &&
                   std::get<CrashCleared>(*Decoded).Digest == 13);
    Decoded = decodeMessage(encodeMessage(
        TargetLeavingNotice{{"i", 3, "tcp://10.0.0.1:7100"}, milliseconds(5)}));
    CPPUNIT_ASSERT(Decoded.ok());
    const auto &Leaving = std::get<TargetLeavingNotice>(*Decoded);
    CPPUNIT_ASSERT(Leaving.Target ==
                       (TargetRef{"i", 3, "tcp://10.0.0.1:7100"}) &&
                   Leaving.KnownFor == milliseconds(5));
    Decoded = decodeMessage(encodeMessage(NodeNotice{12, "{}"}));
    CPPUNIT_ASSERT(Decoded.ok() &&
                   std::get<NodeNotice>(*Decoded).Revision == 12);
  }

  // Guards against nodes of two releases that reject each other's requests
  // during a rolling update.
  void decodesRequestsOfThePreviousRelease() {
    Forward Sent{.Id = 7, .Process = 8, .Service = "s", .AttemptId = "a"};
    Sent.Content = std::make_shared<RequestContent>();
    // The version is the last byte; the first three bytes encode the array
    // length.
    std::string Bytes = encodeMessage(Sent);
    CPPUNIT_ASSERT_EQUAL('\xdc', Bytes[0]);
    CPPUNIT_ASSERT_EQUAL('\x00', Bytes.back());
    Bytes.pop_back();
    --Bytes[2];
    auto Decoded = decodeMessage(Bytes);
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT(std::get<Forward>(*Decoded).Id == 7);
    CPPUNIT_ASSERT(std::get<Forward>(*Decoded).ConfigVersion == 0);
  }

  // Guards against nodes of two releases that reject each other's statuses, and
  // against a limit that other nodes do not learn.
  void carriesTheRateLimitInTheStatus() {
    StatusNotice Sent{statusOf("n", 3)};
    Sent.Status.StartInterval = milliseconds(20);
    Sent.Status.StartWait = milliseconds(70);
    ForwardResult Result{.Id = 7, .Status = Sent.Status};
    auto Decoded = decodeMessage(encodeMessage(Result));
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT(std::get<ForwardResult>(*Decoded).Status.StartWait ==
                   milliseconds(70));
    Decoded = decodeMessage(encodeMessage(Sent));
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT(std::get<StatusNotice>(*Decoded).Status.StartInterval ==
                   milliseconds(20));
    // Earlier releases send no pace. Two bytes encode it if there is no limit,
    // and three bytes the array length.
    std::string Bytes = encodeMessage(StatusNotice{statusOf("n", 3)});
    CPPUNIT_ASSERT_EQUAL('\xdc', Bytes[0]);
    Bytes.resize(Bytes.size() - 2);
    Bytes[2] = static_cast<char>(Bytes[2] - 2);
    Decoded = decodeMessage(Bytes);
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT(std::get<StatusNotice>(*Decoded).Status.Running == 3);
  }

  // Guards against entry nodes that do not learn of slow phases of a target, of
  // answers that wait for its link, and of hot keys; and against nodes of two
  // releases that reject each other's messages.
  void carriesTheLoadInTheStatus() {
    StatusNotice Sent{statusOf("n", 3)};
    Sent.Status.SlowdownPercent = 300;
    Sent.Status.SlowdownAge = milliseconds(40);
    Sent.Status.AnswerQueuedBytes = 90'000;
    auto Decoded =
        decodeMessage(encodeMessage(ForwardResult{.Id = 7,
                                                  .Status = Sent.Status,
                                                  .KeyShare = 0.25F,
                                                  .OfRunningWork = true}));
    CPPUNIT_ASSERT(Decoded.ok());
    const auto &Result = std::get<ForwardResult>(*Decoded);
    CPPUNIT_ASSERT_EQUAL(0.25F, Result.KeyShare);
    CPPUNIT_ASSERT(Result.OfRunningWork);
    CPPUNIT_ASSERT_EQUAL(300U, Result.Status.SlowdownPercent);
    Decoded = decodeMessage(encodeMessage(Sent));
    CPPUNIT_ASSERT(Decoded.ok());
    const TargetStatus &Status = std::get<StatusNotice>(*Decoded).Status;
    CPPUNIT_ASSERT(Status.SlowdownAge == milliseconds(40) &&
                   Status.AnswerQueuedBytes == 90'000);
    // Earlier releases send none of these fields. Three bytes encode them if
    // they are 0.
    std::string Bytes = encodeMessage(StatusNotice{statusOf("n", 3)});
    Bytes.resize(Bytes.size() - 3);
    Bytes[2] = static_cast<char>(Bytes[2] - 3);
    Decoded = decodeMessage(Bytes);
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT(std::get<StatusNotice>(*Decoded).Status.Running == 3);
  }

  // Guards against a node of an earlier release that passes on a status which
  // no caller can read.
  void answersWithImpossibleStatusesAreLost() {
    for (int Status : {0, 99, 103, 600, 1000}) {
      ForwardResult Sent{.Id = 7, .Code = Outcome::Answered};
      Sent.Answer.Status = Status;
      auto Decoded = decodeMessage(encodeMessage(Sent));
      CPPUNIT_ASSERT(Decoded.ok());
      CPPUNIT_ASSERT(std::get<ForwardResult>(*Decoded).Code == Outcome::Lost);
    }
    ForwardResult Sent{.Id = 7, .Code = Outcome::Answered};
    Sent.Answer.Status = 200;
    CPPUNIT_ASSERT(
        std::get<ForwardResult>(*decodeMessage(encodeMessage(Sent))).Code ==
        Outcome::Answered);
  }

  void rejectsInvalidMessages() {
    CPPUNIT_ASSERT(!decodeMessage("").ok());
    CPPUNIT_ASSERT(!decodeMessage("\x91\x63").ok());
    std::string Bytes = encodeMessage(StatusNotice{statusOf("n", 3)});
    std::mt19937 Random(3);
    for (int Round = 0; Round < 3000; ++Round) {
      std::string Corrupted = Bytes;
      Corrupted[Random() % Corrupted.size()] = static_cast<char>(Random());
      if (Round % 3 == 0)
        Corrupted.resize(Random() % Corrupted.size());
      // Decoding may succeed or fail, but must not crash.
      (void)decodeMessage(Corrupted);
    }
  }

  // Guards against bursts of retries after a target is lost, against tokens
  // that are saved for later windows, and against charges that are forgotten.
  void budgetLimitsRetriesPerWindow() {
    RetryBudget Budget({.Ratio = 0.1, .FleetExtra = 20});
    Instant Now{std::int64_t{1'000'000}};
    CPPUNIT_ASSERT(!Budget.take(Now));
    Budget.setFleetSize(10);
    int Retries = 0;
    for (int Request = 0; Request < 1000; ++Request) {
      Now = Now + milliseconds(10);
      Budget.noteArrival(Now);
      while (Budget.take(Now))
        ++Retries;
    }
    // 1000 requests in one window: a tenth of them, and a tenth of the
    // constant.
    CPPUNIT_ASSERT(Retries <= 100 + 2);
    CPPUNIT_ASSERT(Retries >= 95);
    // Nothing of an idle window is left in the next one.
    Now = Now + std::chrono::seconds(30);
    Retries = 0;
    while (Budget.take(Now))
      ++Retries;
    CPPUNIT_ASSERT_EQUAL(2, Retries);
    Now = Now + std::chrono::seconds(11);
    Budget.charge(5, Now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(-3, Budget.available(Now), 1e-9);
    CPPUNIT_ASSERT(!Budget.take(Now));
  }

  // Transfers occupy the links of both VMs, so an upload stays near while its
  // answer is expected within half of the target latency, here after 180 ms.
  void uploadsStayNear() {
    ChoiceInput Upload{.Service = "plain",
                       .Bytes = 60 << 10,
                       .TargetLatency = milliseconds(400)};
    ChoiceInput Small = Upload;
    Small.Bytes = 100;
    for (const Location &Place : {Location{"d2", "r1"}, Location{"d2", "r2"}}) {
      TwoTargets Targets("near", "far", true);
      auto &[Directory, Now] = Targets;
      Directory.setNode("far", Place);
      Directory.update(statusOf("near", 12), Now);
      Directory.update(statusOf("far", 0), Now);
      CPPUNIT_ASSERT_EQUAL(std::string("near"), Targets.choose(Upload));
      // The only target of a failure domain shares small requests with the rest
      // of its region, but not with other regions.
      CPPUNIT_ASSERT_EQUAL(std::string(Place.Region == "r1" ? "far" : "near"),
                           Targets.choose(Small));
      // Beyond that time, uploads leave.
      Upload.TargetLatency = Small.TargetLatency = milliseconds(300);
      for (int I = 0; I < 20; ++I, Now = Now + milliseconds(100)) {
        Directory.update(statusOf("near", 12, 2 + I), Now);
        Directory.update(statusOf("far", 0, 2 + I), Now);
        Targets.choose(Upload);
      }
      CPPUNIT_ASSERT_EQUAL(std::string("far"), Targets.choose(Upload));
      CPPUNIT_ASSERT_EQUAL(std::string("far"), Targets.choose(Small));
      Upload.TargetLatency = Small.TargetLatency = milliseconds(400);
    }
  }

  void avoidsUnreachableNodes() {
    TwoTargets Targets("near", "far", true);
    auto &[Directory, Now] = Targets;
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
    TwoTargets Targets("a", "b");
    auto &[Directory, Now] = Targets;
    TargetStatus Known = statusOf("a", 5);
    Known.ServiceTime = milliseconds(20);
    TargetStatus New = statusOf("b", 0);
    New.ServiceTime = Duration(0);
    Directory.update(Known, Now);
    Directory.update(New, Now);
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         Targets.choose({.Service = "plain"}));
  }

  // Guards against comparing targets by their mean over all request classes: a
  // target that ran only short requests has a low mean and attracted the long
  // requests of all nodes.
  void comparesTargetsByRequestClass() {
    TwoTargets Targets("calls", "mixed");
    auto &[Directory, Now] = Targets;
    TargetStatus Calls = statusOf("calls", 6);
    Calls.ServiceTime = milliseconds(40);
    Calls.Times = {{ShortClass, milliseconds(40)}};
    TargetStatus Mixed = statusOf("mixed", 5);
    Mixed.ServiceTime = milliseconds(120);
    Mixed.Times = {{ShortClass, milliseconds(30)},
                   {LongClass, milliseconds(160)}};
    Directory.update(Calls, Now);
    Directory.update(Mixed, Now);
    for (RequestClassId RequestClass : {ShortClass, LongClass})
      CPPUNIT_ASSERT_EQUAL(
          std::string("mixed"),
          Targets.choose({.Service = "plain", .RequestClass = RequestClass}));
  }

  // Guards against a new target that gets no requests because the known target
  // is fast enough under low load.
  void usesNewTargetsUnderLowLoad() {
    TwoTargets Targets("known", "new");
    auto &[Directory, Now] = Targets;
    TargetStatus Known = statusOf("known", 1);
    Known.Times = {{LongClass, milliseconds(100)}};
    Directory.update(Known, Now);
    Known.Sequence = 2;
    Known.Times = {{LongClass, milliseconds(110)}};
    Directory.update(Known, Now);
    TargetStatus New = statusOf("new", 0);
    New.ServiceTime = Duration(0);
    Directory.update(New, Now);
    CPPUNIT_ASSERT_EQUAL(
        std::string("new"),
        Targets.choose({.Service = "plain", .RequestClass = LongClass}));
  }

  // Guards against a target that is never used again because it was cold or
  // slow when it was last used.
  void triesSlowTargetsAgain() {
    TwoTargets Targets("slow", "usual");
    auto &[Directory, Now] = Targets;
    TargetStatus Slow = statusOf("slow", 0);
    Slow.Times = {{LongClass, milliseconds(300)}};
    Slow.FailureShare = 0.5;
    Directory.update(Slow, Now);
    ChoiceInput Input{.Service = "plain", .RequestClass = LongClass};
    std::uint64_t Sequence = 1;
    auto ChooseNext = [&] {
      TargetStatus Usual = statusOf("usual", 4, ++Sequence);
      Usual.Times = {{LongClass, milliseconds(100)}};
      Directory.update(Usual, Now);
      return Targets.choose(Input);
    };
    CPPUNIT_ASSERT_EQUAL(std::string("usual"), ChooseNext());
    Now = Now + seconds(3);
    CPPUNIT_ASSERT_EQUAL(std::string("usual"), ChooseNext());
    Now = Now + seconds(6);
    CPPUNIT_ASSERT_EQUAL(std::string("slow"), ChooseNext());
  }

  // Guards against a baseline that follows the only target in use: when that
  // target turns slow, the other one must look faster.
  void avoidsANearTargetThatBecomesSlow() {
    TwoTargets Targets("near", "far", true);
    auto &[Directory, Now] = Targets;
    Directory.update(statusOf("far", 0), Now);
    auto ChooseAfterReport = [&](std::uint64_t Sequence, Duration ServiceTime) {
      TargetStatus Near = statusOf("near", 1, Sequence);
      Near.Times = {{LongClass, ServiceTime}};
      Directory.update(Near, Now);
      return Targets.choose({.Service = "plain", .RequestClass = LongClass});
    };
    CPPUNIT_ASSERT_EQUAL(std::string("near"),
                         ChooseAfterReport(2, milliseconds(100)));
    CPPUNIT_ASSERT_EQUAL(std::string("far"),
                         ChooseAfterReport(3, milliseconds(200)));
  }

  // Guards against all nodes sending everything to a target that is new or was
  // unreachable before its first answers show how fast it is.
  void probesAnUnmeasuredTargetWithOneRequest() {
    TwoTargets Targets("known", "new");
    auto &[Directory, Now] = Targets;
    TargetStatus Known = statusOf("known", 4);
    Known.Times = {{LongClass, milliseconds(100)}};
    Directory.update(Known, Now);
    TargetStatus New = statusOf("new", 0);
    Directory.update(New, Now);
    ChoiceInput Input{.Service = "plain", .RequestClass = LongClass};
    auto ChooseNext = [&] {
      std::string Node = Targets.choose(Input);
      Directory.noteSent(Node);
      return Node;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("new"), ChooseNext());
    CPPUNIT_ASSERT_EQUAL(std::string("known"), ChooseNext());
    Directory.noteEnded("new");
    Directory.noteUnreachable("new", Now);
    CPPUNIT_ASSERT_EQUAL(std::string("known"), ChooseNext());
    Now = Now + milliseconds(600);
    CPPUNIT_ASSERT_EQUAL(std::string("new"), ChooseNext());
    CPPUNIT_ASSERT_EQUAL(std::string("known"), ChooseNext());
  }

  // A node updates the status of its own target fifty times per second. If each
  // update raised the baseline, a slow target would look normal after ten idle
  // seconds.
  void repeatedStatusDoesNotRaiseTheBaseline() {
    TwoTargets Targets("slow", "other");
    auto &[Directory, Now] = Targets;
    TargetStatus Slow = statusOf("slow", 0);
    Slow.Times = {{LongClass, milliseconds(100)}};
    Directory.update(Slow, Now);
    Slow.Times = {{LongClass, milliseconds(300)}};
    for (int I = 0; I < 5000; ++I) {
      ++Slow.Sequence;
      Directory.update(Slow, Now);
    }
    Directory.update(statusOf("other", 0), Now);
    Duration Expected =
        Directory.costOf("other", *Directory.find("other"),
                         {.Service = "plain", .RequestClass = LongClass}, Now);
    CPPUNIT_ASSERT(Expected < milliseconds(110));
  }

  void measuresByRequestClass() {
    ClassServiceTimes Times;
    Instant Now{std::int64_t{1'000'000}};
    CPPUNIT_ASSERT(Times.meanOf(LongClass, Now) == Duration(0));
    for (int I = 0; I < 50; ++I) {
      Times.note(LongClass, milliseconds(150), Now);
      Times.note(ShortClass, milliseconds(30), Now);
    }
    CPPUNIT_ASSERT(Times.meanOf(LongClass, Now) == milliseconds(150));
    CPPUNIT_ASSERT(Times.meanOf(ShortClass, Now) == milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Times.recent(Now).size());
    Now = Now + seconds(5);
    CPPUNIT_ASSERT(Times.recent(Now).empty());
    // The first sample after a pause counts in full.
    Times.note(LongClass, milliseconds(90), Now);
    CPPUNIT_ASSERT(Times.meanOf(LongClass, Now) == milliseconds(90));
    // Memory stays bounded when routes are added and removed.
    for (RequestClassId RequestClass = 100; RequestClass < 200; ++RequestClass)
      Times.note(RequestClass, milliseconds(1), Now);
    CPPUNIT_ASSERT(Times.recent(Now).size() <= 8);
  }

  void ignoresStaleStatus() {
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
