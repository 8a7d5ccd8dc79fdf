// Guards against a node that stays up without serving, and against one that is
// ended though its loop turns.
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "orioledoor/daemon/loop_watchdog.h"

namespace orioledoor::daemon {
namespace {

using std::chrono::milliseconds;

class LoopWatchdogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoopWatchdogTest);
  CPPUNIT_TEST(reportsAStallOnce);
  CPPUNIT_TEST(leavesALoopThatTurns);
  CPPUNIT_TEST_SUITE_END();

public:
  void reportsAStallOnce() {
    std::atomic<int> Stalls{0};
    LoopWatchdog Guard(
        {.Period = milliseconds(5), .Limit = 3, .OnStall = [&] { ++Stalls; }});
    std::this_thread::sleep_for(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(1, Stalls.load());
  }

  void leavesALoopThatTurns() {
    std::atomic<int> Stalls{0};
    LoopWatchdog Guard({.Period = milliseconds(100),
                        .Limit = 10,
                        .OnStall = [&] { ++Stalls; }});
    for (int I = 0; I < 60; ++I) {
      Guard.touch();
      std::this_thread::sleep_for(milliseconds(20));
    }
    CPPUNIT_ASSERT_EQUAL(0, Stalls.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopWatchdogTest);

} // namespace
} // namespace orioledoor::daemon
