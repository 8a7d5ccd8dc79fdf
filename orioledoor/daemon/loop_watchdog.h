// Detects a blocked event loop, so that its process can exit and be restarted.
// Without it, a call that blocks forever leaves a node running that answers no
// requests.
//
//   LoopWatchdog Watchdog({.OnStall = [] { std::_Exit(EXIT_FAILURE); }});
//   Watchdog.recordProgress();   // from the event loop, at least once a second
#ifndef ORIOLEDOOR_DAEMON_LOOP_WATCHDOG_H
#define ORIOLEDOOR_DAEMON_LOOP_WATCHDOG_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>

namespace orioledoor::daemon {

struct LoopWatchdogOptions {
  std::chrono::milliseconds CheckInterval{500};
  // Consecutive checks without progress that count as a stall. The watchdog
  // counts its own checks instead of the elapsed time, since a suspended
  // process is not stalled. The longest iteration of the loop takes tens of
  // milliseconds, or about 1 s on a tenth of a core.
  int MaxMissedChecks = 12;
  // Called at most once, on the watchdog's thread.
  std::function<void()> OnStall{};
};

// Calls OnStall if recordProgress() is not called for MaxMissedChecks
// consecutive checks. recordProgress() may be called from any thread.
class LoopWatchdog {
public:
  explicit LoopWatchdog(LoopWatchdogOptions Options);
  // Stops and joins the watchdog's thread.
  ~LoopWatchdog();
  LoopWatchdog(const LoopWatchdog &) = delete;
  LoopWatchdog &operator=(const LoopWatchdog &) = delete;

  void recordProgress() {
    this->ProgressCount.fetch_add(1, std::memory_order_relaxed);
  }

private:
  void run();

  LoopWatchdogOptions Options;
  std::atomic<std::uint64_t> ProgressCount{0};
  std::mutex Mutex;
  std::condition_variable Wake;
  // Guarded by Mutex.
  bool Stopped = false;
  // Last, so that the thread starts after all other members are initialized.
  std::thread Thread;
};

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_LOOP_WATCHDOG_H
