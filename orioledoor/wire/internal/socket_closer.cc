// Threads that take sockets from a queue.
#include "orioledoor/wire/internal/socket_closer.h"

namespace orioledoor::wire::internal {
namespace {

// Bounds the threads that may be stuck; after that, sockets wait.
constexpr std::size_t MaxWorkers = 32;

} // namespace

SocketCloser::~SocketCloser() {
  {
    std::lock_guard<std::mutex> Held(this->Lock);
    this->Ended = true;
  }
  this->Wake.notify_all();
  for (std::thread &Each : this->Workers)
    Each.join();
}

void SocketCloser::close(nng_socket Socket) {
  bool NeedsWorker = false;
  {
    std::lock_guard<std::mutex> Held(this->Lock);
    this->Queue.push_back(Socket);
    NeedsWorker = this->Queue.size() > this->Idle;
  }
  if (NeedsWorker && this->Workers.size() < MaxWorkers)
    this->Workers.emplace_back([this] { this->work(); });
  this->Wake.notify_one();
}

void SocketCloser::work() {
  std::unique_lock<std::mutex> Held(this->Lock);
  while (true) {
    ++this->Idle;
    this->Wake.wait(Held,
                    [this] { return this->Ended || !this->Queue.empty(); });
    --this->Idle;
    if (this->Queue.empty())
      return;
    nng_socket Next = this->Queue.front();
    this->Queue.pop_front();
    Held.unlock();
    nng_close(Next);
    Held.lock();
  }
}

} // namespace orioledoor::wire::internal
