// Holds back signals while a process starts. Until its handlers are installed,
// a signal to stop or to reload would end the process at once.
//
//   StartupSignals Signals;
//   ...                      // open listeners, install handlers
//   Signals.deliver();
#ifndef ORIOLEDOOR_DAEMON_STARTUP_SIGNALS_H
#define ORIOLEDOOR_DAEMON_STARTUP_SIGNALS_H

#include <csignal>

namespace orioledoor::daemon {

// Construct and use on the main thread, before other threads are started: they
// inherit the blocked signals, so that the main thread handles all of them.
class StartupSignals {
public:
  // Blocks SIGTERM, SIGINT and SIGHUP.
  StartupSignals();
  StartupSignals(const StartupSignals &) = delete;
  StartupSignals &operator=(const StartupSignals &) = delete;

  // Unblocks them. Those that arrived meanwhile are delivered before this
  // returns.
  void deliver();

private:
  sigset_t Previous{};
};

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_STARTUP_SIGNALS_H
