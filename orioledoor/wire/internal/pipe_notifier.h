// Brings connection events from nng's threads into the event loop.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_PIPE_NOTIFIER_H
#define ORIOLEDOOR_WIRE_INTERNAL_PIPE_NOTIFIER_H

#include <mutex>
#include <vector>

namespace orioledoor::wire::internal {

// A connection of a socket came up or went away.
struct PipeChange {
  int Socket = 0;
  bool Up = false;
};

// Thread-safe. Must outlive the sockets that report to it.
class PipeNotifier {
public:
  PipeNotifier();
  ~PipeNotifier();
  PipeNotifier(const PipeNotifier &) = delete;
  PipeNotifier &operator=(const PipeNotifier &) = delete;

  // Readable while changes wait; -1 if the system gave no descriptor.
  int descriptor() const { return this->Descriptor; }

  // Called on nng's threads.
  void report(PipeChange Change);

  // All changes since the last call, oldest first.
  std::vector<PipeChange> take();

private:
  int Descriptor = -1;
  std::mutex Guard;
  std::vector<PipeChange> Changes;
};

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_PIPE_NOTIFIER_H
