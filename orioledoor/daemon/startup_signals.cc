// Signal mask of a starting process.
#include "orioledoor/daemon/startup_signals.h"

#include <algorithm>
#include <array>

namespace orioledoor::daemon {

StartupSignals::StartupSignals() {
  sigset_t Blocked;
  sigemptyset(&Blocked);
  std::ranges::for_each(
      std::array{SIGTERM, SIGINT, SIGHUP},
      [&Blocked](int Signal) { sigaddset(&Blocked, Signal); });
  pthread_sigmask(SIG_BLOCK, &Blocked, &this->Previous);
}

void StartupSignals::deliver() {
  pthread_sigmask(SIG_SETMASK, &this->Previous, nullptr);
}

} // namespace orioledoor::daemon
