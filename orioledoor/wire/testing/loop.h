// An event loop for tests, with the means to wait for a condition and to talk
// raw TCP to it.
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

struct BaseDeleter {
  void operator()(event_base *Owned) const { event_base_free(Owned); }
};

// Not thread-safe.
class Loop {
public:
  // Ignores SIGPIPE, as the daemon does.
  Loop();

  event_base *base() { return this->Owned.get(); }

  // Runs the loop until Done holds; false if it did not in time. EachTurn runs
  // every few milliseconds.
  bool runUntil(const std::function<bool()> &Done,
                const std::function<void()> &EachTurn = {},
                std::chrono::milliseconds Limit = std::chrono::seconds(5));

private:
  std::unique_ptr<event_base, BaseDeleter> Owned;
};

// Connects to 127.0.0.1:Port; -1 on failure.
int connectTo(std::uint16_t Port);

// A listening socket on 127.0.0.1:Port whose accept does not block; -1 on
// failure.
int listenOn(std::uint16_t Port);

void sendAll(int Descriptor, std::string_view Bytes);

// Appends what can be read without waiting; false at the end of the stream.
bool receive(int Descriptor, std::string &To);

} // namespace orioledoor::wire::testing

#endif // ORIOLEDOOR_WIRE_TESTING_LOOP_H
