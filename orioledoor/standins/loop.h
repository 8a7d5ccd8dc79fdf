// The event loop of the stand-ins, with timers; it stops on SIGTERM or SIGINT.
//
//   Loop Events;
//   Events.after(std::chrono::milliseconds(20), [&] { answer(); });
//   Events.run();
#ifndef ORIOLEDOOR_STANDINS_LOOP_H
#define ORIOLEDOOR_STANDINS_LOOP_H

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "orioledoor/base/instant.h"

struct event;
struct event_base;

namespace orioledoor::standins {

// Not thread-safe.
class Loop {
public:
  Loop();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  event_base *base() const { return this->Base; }

  // Runs Function once after Delay, never before this call has returned.
  void after(Duration Delay, std::function<void()> Function);

  // Runs Function repeatedly until the loop is destroyed.
  void every(Duration Period, std::function<void()> Function);

  // Runs Function on the first signal instead of stop(). A second signal always
  // stops the loop.
  void onSignal(std::function<void()> Function);

  // Handles events until stop() or a signal.
  void run();
  void stop();

  // Handles events until Done returns true; returns false if Limit passes
  // first.
  bool runUntil(const std::function<bool()> &Done, Duration Limit);

private:
  struct Timer;

  void handleSignal();

  event_base *Base;
  std::uint64_t LastTimerId = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Timer>> Timers;
  std::vector<event *> SignalEvents;
  std::function<void()> SignalHandler;
  bool SignalReceived = false;
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_LOOP_H
