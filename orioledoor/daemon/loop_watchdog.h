// Ends a process whose event loop has stopped, so that it is started again. A
// call that blocks for good would otherwise keep a node that answers nobody.
//
//   LoopWatchdog Guard({.OnStall = [] { std::_Exit(EXIT_FAILURE); }});
//   Guard.touch();   // from the loop, more often than the limit
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
  std::chrono::milliseconds Period{500};
  // Checks in a row without a touch. The watchdog counts its own turns, since a
  // process that is suspended does not stall. The longest turn of the loop is
  // tens of milliseconds; a tenth of a core makes it a second.
  int Limit = 12;
  // Called once, from the watchdog's thread.
  std::function<void()> OnStall{};
};

// touch() may be called from any thread.
class LoopWatchdog {
public:
  explicit LoopWatchdog(LoopWatchdogOptions Options);
  // Ends the watch.
  ~LoopWatchdog();
  LoopWatchdog(const LoopWatchdog &) = delete;
  LoopWatchdog &operator=(const LoopWatchdog &) = delete;

  void touch() { this->Touches.fetch_add(1, std::memory_order_relaxed); }

private:
  void watch();

  LoopWatchdogOptions Options;
  std::atomic<std::uint64_t> Touches{0};
  std::mutex Lock;
  std::condition_variable Wake;
  // Guarded by Lock.
  bool Ended = false;
  // Last, so that it starts when all others are there.
  std::thread Watcher;
};

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_LOOP_WATCHDOG_H
