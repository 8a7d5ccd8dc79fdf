// The watching thread.
#include "orioledoor/daemon/loop_watchdog.h"

#include <utility>

namespace orioledoor::daemon {

LoopWatchdog::LoopWatchdog(LoopWatchdogOptions Options)
    : Options(std::move(Options)), Watcher([this] { this->watch(); }) {}

LoopWatchdog::~LoopWatchdog() {
  {
    std::lock_guard<std::mutex> Held(this->Lock);
    this->Ended = true;
  }
  this->Wake.notify_all();
  this->Watcher.join();
}

void LoopWatchdog::watch() {
  std::uint64_t Seen = 0;
  int Quiet = 0;
  std::unique_lock<std::mutex> Held(this->Lock);
  while (!this->Wake.wait_for(Held, this->Options.Period,
                              [this] { return this->Ended; })) {
    std::uint64_t Now = this->Touches.load(std::memory_order_relaxed);
    Quiet = Now == Seen ? Quiet + 1 : 0;
    Seen = Now;
    if (Quiet < this->Options.Limit)
      continue;
    this->Options.OnStall();
    return;
  }
}

} // namespace orioledoor::daemon
