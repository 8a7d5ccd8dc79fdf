// The thread that checks the event loop for progress.
#include "orioledoor/daemon/loop_watchdog.h"

#include <utility>

namespace orioledoor::daemon {

LoopWatchdog::LoopWatchdog(LoopWatchdogOptions Options)
    : Options(std::move(Options)), Thread([this] { this->run(); }) {}

LoopWatchdog::~LoopWatchdog() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopped = true;
  }
  this->Wake.notify_all();
  this->Thread.join();
}

void LoopWatchdog::run() {
  std::uint64_t LastCount = 0;
  int MissedChecks = 0;
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Wake.wait_for(Lock, this->Options.CheckInterval,
                              [this] { return this->Stopped; })) {
    std::uint64_t Count = this->ProgressCount.load(std::memory_order_relaxed);
    MissedChecks = Count == LastCount ? MissedChecks + 1 : 0;
    LastCount = Count;
    if (MissedChecks < this->Options.MaxMissedChecks)
      continue;
    this->Options.OnStall();
    return;
  }
}

} // namespace orioledoor::daemon
