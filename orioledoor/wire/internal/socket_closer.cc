// Implements SocketCloser with a queue of sockets and a pool of threads.
#include "orioledoor/wire/internal/socket_closer.h"

namespace orioledoor::wire::internal {
namespace {

// Limits the number of threads that nng_close() can block; further sockets wait
// in the queue.
constexpr std::size_t MaxWorkers = 32;

} // namespace

SocketCloser::~SocketCloser() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
  }
  this->QueueChanged.notify_all();
  for (std::thread &Worker : this->Workers)
    Worker.join();
}

void SocketCloser::close(nng_socket Socket) {
  bool NeedsWorker = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Queue.push_back(Socket);
    NeedsWorker = this->Queue.size() > this->IdleWorkers;
  }
  if (NeedsWorker && this->Workers.size() < MaxWorkers)
    this->Workers.emplace_back([this] { this->runWorker(); });
  this->QueueChanged.notify_one();
}

void SocketCloser::runWorker() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (true) {
    ++this->IdleWorkers;
    this->QueueChanged.wait(
        Lock, [this] { return this->Stopping || !this->Queue.empty(); });
    --this->IdleWorkers;
    if (this->Queue.empty())
      return;
    nng_socket Next = this->Queue.front();
    this->Queue.pop_front();
    Lock.unlock();
    nng_close(Next);
    Lock.lock();
  }
}

} // namespace orioledoor::wire::internal
