// Tests that signals which arrive during the start are handled after it.
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

#include "orioledoor/daemon/startup_signals.h"

namespace orioledoor::daemon {
namespace {

volatile std::sig_atomic_t Received = 0;

class StartupSignalsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartupSignalsTest);
  CPPUNIT_TEST(deliversSignalsOfTheStart);
  CPPUNIT_TEST_SUITE_END();

public:
  // A process that got SIGTERM or SIGHUP between its start and the installation
  // of its handlers was ended by the signal.
  void deliversSignalsOfTheStart() {
    for (int Signal : {SIGTERM, SIGHUP}) {
      Received = 0;
      StartupSignals Signals;
      std::raise(Signal);
      auto Previous = std::signal(Signal, [](int) { Received = 1; });
      CPPUNIT_ASSERT(Received == 0);
      Signals.deliver();
      CPPUNIT_ASSERT(Received == 1);
      std::signal(Signal, Previous);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartupSignalsTest);

} // namespace
} // namespace orioledoor::daemon
