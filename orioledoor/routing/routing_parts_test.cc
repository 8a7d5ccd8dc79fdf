// Guards the smaller parts of the request path: the codec between nodes, the
// retry budget and the choice of a target.
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

class RoutingPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingPartsTest);
  CPPUNIT_TEST(messagesSurviveTheWire);
  CPPUNIT_TEST(refusesBytesThatAreNoMessage);
  CPPUNIT_TEST(budgetBoundsRetriesInAnyWindow);
  CPPUNIT_TEST(uploadsStayNear);
  CPPUNIT_TEST(avoidsUnreachableNodes);
  CPPUNIT_TEST(triesNewTargets);
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
    Sent.Content = Content;
    auto Back = decodeMessage(encodeMessage(Sent));
    CPPUNIT_ASSERT(Back.ok());
    const auto &Read = std::get<Forward>(*Back);
    CPPUNIT_ASSERT(Read.Id == 7 && Read.Process == 8 && Read.Key == 65535);
    CPPUNIT_ASSERT(Read.LatencyLeft == milliseconds(-5));
    CPPUNIT_ASSERT(Read.WorthwhileWait == milliseconds(12));
    CPPUNIT_ASSERT(Read.Content->Body == Content->Body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Read.Content->Headers.size());

    ForwardResult Result{.Id = 7, .Ended = Outcome::Busy};
    Result.Status = statusOf("n", 3);
    Back = decodeMessage(encodeMessage(Result));
    CPPUNIT_ASSERT(std::get<ForwardResult>(*Back).Status.Running == 3);
    KeyLoadNotice Load{.Service = "s", .Rate = 1.5, .Quantiles = {1, 2, 2}};
    Back = decodeMessage(encodeMessage(Load));
    CPPUNIT_ASSERT(std::get<KeyLoadNotice>(*Back).Quantiles == Load.Quantiles);
    Back = decodeMessage(encodeMessage(KeyMapNotice{9, "{}"}));
    CPPUNIT_ASSERT(std::get<KeyMapNotice>(*Back).Revision == 9);
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
      // Either refused or read; never a crash.
      (void)decodeMessage(Broken);
    }
  }

  // A burst after a loss must not spend more than the window allows.
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
    // 1000 requests in one window: a tenth, the constant twice (a full bucket
    // at the start), and what a bucket may save.
    CPPUNIT_ASSERT(Taken <= 100 + 4 + 8);
    CPPUNIT_ASSERT(Taken >= 95);
  }

  // Pattern: uploads at full targets of the own domain. Bytes between domains
  // are paid by volume, so an upload prefers a wait at the near target.
  void uploadsStayNear() {
    TargetDirectory Directory({"d1", "r1"}, "own");
    Instant Now{std::int64_t{1'000'000}};
    Directory.setNode("near", {"d1", "r1"});
    Directory.setNode("far", {"d2", "r2"});
    Directory.update(statusOf("near", 12), Now);
    Directory.update(statusOf("far", 0), Now);
    CPPUNIT_ASSERT_EQUAL(
        std::string("near"),
        *Directory.choose({.Service = "plain", .Bytes = 60 << 10}, Now).Node);
    CPPUNIT_ASSERT_EQUAL(
        std::string("far"),
        *Directory.choose({.Service = "plain", .Bytes = 100}, Now).Node);
  }

  void avoidsUnreachableNodes() {
    TargetDirectory Directory({"d1", "r1"}, "own");
    Instant Now{std::int64_t{1'000'000}};
    Directory.setNode("near", {"d1", "r1"});
    Directory.setNode("far", {"d2", "r2"});
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
    TargetDirectory Directory({"d1", "r1"}, "own");
    Instant Now{std::int64_t{1'000'000}};
    Directory.setNode("a", {"d1", "r1"});
    Directory.setNode("b", {"d1", "r1"});
    TargetStatus Known = statusOf("a", 5);
    Known.ServiceTime = milliseconds(20);
    TargetStatus New = statusOf("b", 0);
    New.ServiceTime = Duration(0);
    Directory.update(Known, Now);
    Directory.update(New, Now);
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         *Directory.choose({.Service = "plain"}, Now).Node);
  }

  void ignoresLateStatus() {
    TargetDirectory Directory({"d1", "r1"}, "own");
    Instant Now{std::int64_t{1'000'000}};
    Directory.setNode("a", {"d1", "r1"});
    Directory.update(statusOf("a", 5, 9), Now);
    Directory.update(statusOf("a", 1, 8), Now);
    CPPUNIT_ASSERT_EQUAL(5U, Directory.find("a")->Status.Running);
    // Another process counts from one again.
    TargetStatus Other = statusOf("a", 2, 1);
    Other.Process = 2;
    Directory.update(Other, Now);
    CPPUNIT_ASSERT_EQUAL(2U, Directory.find("a")->Status.Running);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingPartsTest);

} // namespace
} // namespace orioledoor::routing
