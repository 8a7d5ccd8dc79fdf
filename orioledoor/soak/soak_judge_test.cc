// Guards the soak's own checks: a soak that overlooks a fault proves nothing.
#include <cppunit/extensions/HelperMacros.h>

#include <array>

#include "orioledoor/soak/soak_judge.h"

namespace orioledoor::soak {
namespace {

using std::chrono::milliseconds;

class SoakJudgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakJudgeTest);
  CPPUNIT_TEST(findsSecondRuns);
  CPPUNIT_TEST(findsUntrueRefusals);
  CPPUNIT_TEST(findsTokensThatDoNotGrow);
  CPPUNIT_TEST(findsTwoHolders);
  CPPUNIT_TEST(findsOutdatedRoutes);
  CPPUNIT_TEST_SUITE_END();

public:
  void findsSecondRuns() {
    this->Judge.began("a", "read", true, this->Now);
    this->Judge.began("b", "read", true, this->Now);
    this->Judge.began("a", "write", false, this->Now);
    CPPUNIT_ASSERT(this->Judge.violations().empty());
    this->Judge.began("b", "write", false, this->Now);
    this->expect("TWICE");
  }

  void findsOutdatedRoutes() {
    this->Judge.routed("node-1", "/new/", true, 200, this->Now);
    this->Judge.routed("node-1", "/new/", true, 503, this->Now);
    this->Judge.routed("node-1", "/old/", false, 404, this->Now);
    CPPUNIT_ASSERT(this->Judge.violations().empty());
    this->Judge.routed("node-1", "/new/", true, 404, this->Now);
    this->expect("CONFIG");
    this->Judge.routed("node-1", "/old/", false, 200, this->Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->Judge.violations().size());
  }

  void findsUntrueRefusals() {
    this->Judge.refused("one", this->Now);
    CPPUNIT_ASSERT(this->Judge.violations().empty());
    this->Judge.began("a", "one", true, this->Now);
    this->expect("REFUSED");
    this->Judge.began("a", "two", true, this->Now);
    this->Judge.refused("two", this->Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->Judge.violations().size());
  }

  void findsTokensThatDoNotGrow() {
    this->Judge.took("a", 7, 3, this->Now);
    this->Judge.took("b", 7, 4, this->Now);
    this->Judge.took("b", 8, 1, this->Now);
    CPPUNIT_ASSERT(this->Judge.violations().empty());
    this->Judge.took("a", 7, 4, this->Now);
    this->expect("OWNER");
  }

  void findsTwoHolders() {
    std::array<std::string, 2> Both{"a", "b"};
    this->Judge.holders(7, Both, this->Now);
    this->Judge.holders(7, Both, this->Now + milliseconds(400));
    this->Judge.holders(7, std::span(Both).first(1),
                        this->Now + milliseconds(450));
    this->Judge.holders(7, Both, this->Now + milliseconds(600));
    this->Judge.holders(7, Both, this->Now + milliseconds(1000));
    CPPUNIT_ASSERT(this->Judge.violations().empty());
    this->Judge.holders(7, Both, this->Now + milliseconds(1150));
    this->expect("OWNER");
  }

private:
  void expect(const std::string &Rule) const {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Judge.violations().size());
    CPPUNIT_ASSERT_EQUAL(Rule, this->Judge.violations()[0].Rule);
  }

  Instant Now{std::int64_t{1'000'000}};
  SoakJudge Judge;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakJudgeTest);

} // namespace
} // namespace orioledoor::soak
