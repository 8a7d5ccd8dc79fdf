// Event loop for tests, with helpers that wait for a condition and that
// exchange raw TCP data.
#ifndef ORIOLEDOOR_WIRE_TESTING_LOOP_H
#define ORIOLEDOOR_WIRE_TESTING_LOOP_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <event2/event.h>

namespace orioledoor::wire::testing {

struct EventBaseDeleter {
  void operator()(event_base *Base) const { event_base_free(Base); }
};

// Not thread-safe.
class Loop {
public:
  // Ignores SIGPIPE for the process, as the daemon does.
  Loop();

  event_base *base() { return this->Base.get(); }

  // Runs the loop until Done returns true or Timeout expires, and returns
  // whether Done returned true. OnIteration, if not empty, is invoked every few
  // milliseconds.
  bool runUntil(const std::function<bool()> &Done,
                const std::function<void()> &OnIteration = {},
                std::chrono::milliseconds Timeout = std::chrono::seconds(5));

private:
  std::unique_ptr<event_base, EventBaseDeleter> Base;
};

// Connects to 127.0.0.1:Port. Returns the descriptor, or -1 on failure.
int connectTo(std::uint16_t Port);

// Returns a non-blocking socket that listens on 127.0.0.1:Port, or -1 on
// failure.
int listenOn(std::uint16_t Port);

void sendAll(int Descriptor, std::string_view Bytes);

// Appends the available bytes to Output without blocking. Returns false at the
// end of the stream or on an error.
bool receive(int Descriptor, std::string &Output);

} // namespace orioledoor::wire::testing

#endif // ORIOLEDOOR_WIRE_TESTING_LOOP_H
