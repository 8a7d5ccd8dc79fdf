// Tests that the watchdog reports a blocked event loop, which would leave a
// node running without serving, and that it ignores a loop that makes progress.
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
  CPPUNIT_TEST(reportsStallOnce);
  CPPUNIT_TEST(ignoresLoopThatMakesProgress);
  CPPUNIT_TEST_SUITE_END();

public:
  void reportsStallOnce() {
    std::atomic<int> Stalls{0};
    LoopWatchdog Watchdog({.CheckInterval = milliseconds(5),
                           .MaxMissedChecks = 3,
                           .OnStall = [&] { ++Stalls; }});
    std::this_thread::sleep_for(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(1, Stalls.load());
  }

  void ignoresLoopThatMakesProgress() {
    std::atomic<int> Stalls{0};
    LoopWatchdog Watchdog({.CheckInterval = milliseconds(100),
                           .MaxMissedChecks = 10,
                           .OnStall = [&] { ++Stalls; }});
    for (int I = 0; I < 60; ++I) {
      Watchdog.recordProgress();
      std::this_thread::sleep_for(milliseconds(20));
    }
    CPPUNIT_ASSERT_EQUAL(0, Stalls.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopWatchdogTest);

} // namespace
} // namespace orioledoor::daemon
