// Tests that the soak's checker detects each kind of violation. A checker that
// misses one would make a successful soak meaningless.
#include <cppunit/extensions/HelperMacros.h>

#include <array>

#include "orioledoor/soak/soak_checker.h"

namespace orioledoor::soak {
namespace {

using std::chrono::milliseconds;

class SoakCheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakCheckerTest);
  CPPUNIT_TEST(detectsRepeatedRuns);
  CPPUNIT_TEST(detectsRequestsThatOutliveTheirCallers);
  CPPUNIT_TEST(detectsRequestsThatNoCallerSent);
  CPPUNIT_TEST(detectsRunsOfRejectedRequests);
  CPPUNIT_TEST(detectsTokensThatDoNotIncrease);
  CPPUNIT_TEST(detectsTwoHolders);
  CPPUNIT_TEST(detectsOutdatedRoutes);
  CPPUNIT_TEST(detectsRequestsThatAreCutOff);
  CPPUNIT_TEST(detectsExceededLimits);
  CPPUNIT_TEST(detectsRequestsToLeavingTargets);
  CPPUNIT_TEST(detectsRequestsAfterAcknowledgedDepartures);
  CPPUNIT_TEST_SUITE_END();

public:
  void detectsRepeatedRuns() {
    this->Checker.recordStart("a", "read", true, this->Now);
    this->Checker.recordStart("b", "read", true, this->Now);
    this->Checker.recordStart("a", "write", false, this->Now);
    CPPUNIT_ASSERT(this->Checker.violations().empty());
    this->Checker.recordStart("b", "write", false, this->Now);
    this->expectViolation("TWICE");
  }

  void detectsOutdatedRoutes() {
    this->Checker.checkRoute("node-1", "/new/", true, 200, this->Now);
    this->Checker.checkRoute("node-1", "/new/", true, 503, this->Now);
    this->Checker.checkRoute("node-1", "/old/", false, 404, this->Now);
    CPPUNIT_ASSERT(this->Checker.violations().empty());
    this->Checker.checkRoute("node-1", "/new/", true, 404, this->Now);
    this->expectViolation("CONFIG");
    this->Checker.checkRoute("node-1", "/old/", false, 200, this->Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->Checker.violations().size());
  }

  void detectsRequestsThatAreCutOff() {
    this->Checker.recordUnanswered("one", this->Now);
    CPPUNIT_ASSERT(this->Checker.violations().empty());
    this->Checker.recordStart("a", "two", true, this->Now);
    this->Checker.recordUnanswered("two", this->Now);
    this->expectViolation("LOST");
  }

  void detectsExceededLimits() {
    auto SendFor = [this](milliseconds Time, milliseconds Interval) {
      for (Instant End = this->Now + Time; this->Now < End;
           this->Now = this->Now + Interval)
        this->Checker.recordArrival("a", "one", this->Now);
    };
    this->Checker.recordLimit("a", 10, this->Now);
    // Half as much again as the limit is allowed.
    SendFor(milliseconds(12000), milliseconds(67));
    CPPUNIT_ASSERT(this->Checker.violations().empty());
    SendFor(milliseconds(4000), milliseconds(50));
    this->expectViolation("LIMIT");
    // A target that has just stated a limit may get more.
    this->Checker.recordLimit("a", 10, this->Now);
    SendFor(milliseconds(2900), milliseconds(10));
    this->Checker.recordLimit("a", std::nullopt, this->Now);
    SendFor(milliseconds(8000), milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Checker.violations().size());
  }

  void detectsRequestsToLeavingTargets() {
    this->Checker.recordLeavingAnswer("node-1", "a", this->Now);
    this->Now = this->Now + milliseconds(1900);
    this->Checker.recordSent("node-1", "early", {}, this->Now);
    this->Now = this->Now + milliseconds(200);
    this->Checker.recordSent("node-1", "late", {}, this->Now);
    this->Checker.recordSent("node-2", "other", {}, this->Now);
    // The time at which the caller sent the request counts.
    this->Checker.recordArrival("a", "early", this->Now);
    this->Checker.recordArrival("a", "other", this->Now);
    this->Checker.recordArrival("b", "late", this->Now);
    CPPUNIT_ASSERT(this->Checker.violations().empty());
    this->Checker.recordArrival("a", "late", this->Now);
    this->expectViolation("DRAIN");
    this->Checker.excuseNode("node-1", this->Now);
    this->Checker.recordArrival("a", "late", this->Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Checker.violations().size());
  }

  void detectsRequestsAfterAcknowledgedDepartures() {
    this->Checker.recordLeavingAcknowledged("node-1", "a", this->Now);
    // The drain time begins with the first acknowledgement.
    this->Now = this->Now + milliseconds(1900);
    this->Checker.recordLeavingAcknowledged("node-1", "a", this->Now);
    this->Checker.recordSent("node-2", "early", {}, this->Now);
    this->Now = this->Now + milliseconds(200);
    this->Checker.recordSent("node-2", "late", {}, this->Now);
    this->Checker.recordArrival("a", "early", this->Now);
    this->Checker.recordArrival("b", "late", this->Now);
    CPPUNIT_ASSERT(this->Checker.violations().empty());
    this->Checker.recordArrival("a", "late", this->Now);
    this->expectViolation("DRAIN");
    // A node that was down lately need not know yet, be it the one that
    // acknowledged or the one that sends.
    this->Checker.recordNodeDown("node-1", this->Now);
    this->Now = this->Now + milliseconds(2900);
    this->Checker.recordSent("node-2", "unknown", {}, this->Now);
    this->Checker.recordArrival("a", "unknown", this->Now);
    this->Checker.recordNodeDown("node-3", this->Now);
    this->Now = this->Now + milliseconds(200);
    this->Checker.recordSent("node-3", "joining", {}, this->Now);
    this->Checker.recordArrival("a", "joining", this->Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Checker.violations().size());
    this->Checker.recordSent("node-2", "known", {}, this->Now);
    this->Checker.recordArrival("a", "known", this->Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->Checker.violations().size());
  }

  void detectsRequestsThatOutliveTheirCallers() {
    for (const char *Attempt : {"kept", "early", "late", "excused"})
      this->Checker.recordSent("node-1", Attempt, {}, this->Now);
    this->Checker.recordDeparture("excused", this->Now);
    this->Checker.excuseNode("node-1", this->Now);
    this->Now = this->Now + milliseconds(20);
    this->Checker.recordDeparture("early", this->Now);
    this->Checker.recordDeparture("late", this->Now);
    this->Now = this->Now + milliseconds(490);
    this->Checker.recordArrival("a", "early", this->Now);
    this->Now = this->Now + milliseconds(20);
    this->Checker.recordArrival("a", "kept", this->Now);
    this->Checker.recordArrival("a", "excused", this->Now);
    CPPUNIT_ASSERT(this->Checker.violations().empty());
    this->Checker.recordArrival("a", "late", this->Now);
    this->expectViolation("GONE");
    this->Checker.excuseDepartures(this->Now);
    this->Checker.recordArrival("a", "late", this->Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Checker.violations().size());
  }

  void detectsRequestsThatNoCallerSent() {
    RequestParts Parts{"POST", "/write/x?a=1", "body", "plain"};
    this->Checker.recordSent("node-1", "one", Parts, this->Now);
    this->Checker.checkParts("a", "one", Parts, this->Now);
    CPPUNIT_ASSERT(this->Checker.violations().empty());
    Parts.CallerService = "x15dc77";
    this->Checker.checkParts("a", "one", Parts, this->Now);
    this->expectViolation("UNASKED");
    this->Checker.checkParts("a", "two", Parts, this->Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->Checker.violations().size());
  }

  void detectsRunsOfRejectedRequests() {
    this->Checker.recordRejection("one", this->Now);
    CPPUNIT_ASSERT(this->Checker.violations().empty());
    this->Checker.recordStart("a", "one", true, this->Now);
    this->expectViolation("REFUSED");
    this->Checker.recordStart("a", "two", true, this->Now);
    this->Checker.recordRejection("two", this->Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->Checker.violations().size());
  }

  void detectsTokensThatDoNotIncrease() {
    this->Checker.recordAcquisition("a", 7, 3, this->Now);
    this->Checker.recordAcquisition("b", 7, 4, this->Now);
    this->Checker.recordAcquisition("b", 8, 1, this->Now);
    CPPUNIT_ASSERT(this->Checker.violations().empty());
    this->Checker.recordAcquisition("a", 7, 4, this->Now);
    this->expectViolation("OWNER");
  }

  void detectsTwoHolders() {
    std::array<std::string, 2> Both{"a", "b"};
    this->Checker.checkHolders(7, Both, this->Now);
    this->Checker.checkHolders(7, Both, this->Now + milliseconds(400));
    this->Checker.checkHolders(7, std::span(Both).first(1),
                               this->Now + milliseconds(450));
    this->Checker.checkHolders(7, Both, this->Now + milliseconds(600));
    this->Checker.checkHolders(7, Both, this->Now + milliseconds(1000));
    CPPUNIT_ASSERT(this->Checker.violations().empty());
    this->Checker.checkHolders(7, Both, this->Now + milliseconds(1150));
    this->expectViolation("OWNER");
  }

private:
  void expectViolation(const std::string &Rule) const {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Checker.violations().size());
    CPPUNIT_ASSERT_EQUAL(Rule, this->Checker.violations()[0].Rule);
  }

  Instant Now{std::int64_t{1'000'000}};
  SoakChecker Checker;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakCheckerTest);

} // namespace
} // namespace orioledoor::soak
