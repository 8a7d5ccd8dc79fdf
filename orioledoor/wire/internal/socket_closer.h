// Closes nng sockets on background threads. nng_close() blocks until the
// connections of the socket are closed, and may block forever if one of them is
// being established, so the event loop must not call it.
//
//   SocketCloser Closer;
//   Closer.close(Socket);
#ifndef ORIOLEDOOR_WIRE_INTERNAL_SOCKET_CLOSER_H
#define ORIOLEDOOR_WIRE_INTERNAL_SOCKET_CLOSER_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

#include <nng/nng.h>

namespace orioledoor::wire::internal {

// Not thread-safe: all methods must be called on the same thread.
class SocketCloser {
public:
  SocketCloser() = default;
  // Blocks until all sockets are closed.
  ~SocketCloser();
  SocketCloser(const SocketCloser &) = delete;
  SocketCloser &operator=(const SocketCloser &) = delete;

  // Closes Socket in the background. Never blocks.
  void close(nng_socket Socket);

private:
  void runWorker();

  std::mutex Mutex;
  std::condition_variable QueueChanged;
  // Guarded by Mutex.
  std::deque<nng_socket> Queue;
  std::size_t IdleWorkers = 0;
  bool Stopping = false;
  // One thread for each socket whose nng_close() blocks, and one more.
  std::vector<std::thread> Workers;
};

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_SOCKET_CLOSER_H
