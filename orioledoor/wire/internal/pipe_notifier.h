// Passes connection events from the threads of nng to the event loop.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_PIPE_NOTIFIER_H
#define ORIOLEDOOR_WIRE_INTERNAL_PIPE_NOTIFIER_H

#include <mutex>
#include <vector>

namespace orioledoor::wire::internal {

// A connection of a socket was established or closed.
struct PipeChange {
  int Socket = 0;
  bool Connected = false;
};

// Thread-safe. Must outlive the sockets that report to it.
class PipeNotifier {
public:
  PipeNotifier();
  ~PipeNotifier();
  PipeNotifier(const PipeNotifier &) = delete;
  PipeNotifier &operator=(const PipeNotifier &) = delete;

  // Returns a descriptor that is readable while changes are pending, or -1 if
  // the system could not provide one.
  int descriptor() const { return this->Descriptor; }

  // Adds a change. Called on the threads of nng.
  void report(PipeChange Change);

  // Returns all changes since the last call, oldest first.
  std::vector<PipeChange> takeChanges();

private:
  int Descriptor = -1;
  std::mutex Mutex;
  std::vector<PipeChange> Changes;
};

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_PIPE_NOTIFIER_H
