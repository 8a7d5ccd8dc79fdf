// Closes nng sockets on threads of its own. nng_close() waits until the
// connections of the socket are gone, and may wait for good for one that is
// being set up; the event loop must not wait with it.
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

// Call from one thread only.
class SocketCloser {
public:
  SocketCloser() = default;
  // Waits until all sockets are closed.
  ~SocketCloser();
  SocketCloser(const SocketCloser &) = delete;
  SocketCloser &operator=(const SocketCloser &) = delete;

  // Never blocks.
  void close(nng_socket Socket);

private:
  void work();

  std::mutex Lock;
  std::condition_variable Wake;
  // Guarded by Lock.
  std::deque<nng_socket> Queue;
  std::size_t Idle = 0;
  bool Ended = false;
  // One, and another for each that waits in nng.
  std::vector<std::thread> Workers;
};

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_SOCKET_CLOSER_H
