// Implements the event loop and the socket helpers for tests.
#include "orioledoor/wire/testing/loop.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>

namespace orioledoor::wire::testing {
namespace {

sockaddr_in loopbackAddress(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

} // namespace

Loop::Loop() : Base(event_base_new()) { std::signal(SIGPIPE, SIG_IGN); }

bool Loop::runUntil(const std::function<bool()> &Done,
                    const std::function<void()> &OnIteration,
                    std::chrono::milliseconds Timeout) {
  auto End = std::chrono::steady_clock::now() + Timeout;
  while (!Done()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    timeval IterationTime{0, 2000};
    event_base_loopexit(this->base(), &IterationTime);
    event_base_loop(this->base(), EVLOOP_NO_EXIT_ON_EMPTY);
    if (OnIteration)
      OnIteration();
  }
  return true;
}

int connectTo(std::uint16_t Port) {
  int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopbackAddress(Port);
  if (connect(Descriptor, reinterpret_cast<sockaddr *>(&Address),
              sizeof Address) == 0)
    return Descriptor;
  close(Descriptor);
  return -1;
}

int listenOn(std::uint16_t Port) {
  int Descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int Enable = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof Enable);
  sockaddr_in Address = loopbackAddress(Port);
  if (bind(Descriptor, reinterpret_cast<sockaddr *>(&Address),
           sizeof Address) == 0 &&
      listen(Descriptor, 64) == 0)
    return Descriptor;
  close(Descriptor);
  return -1;
}

void sendAll(int Descriptor, std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Sent = send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
}

bool receive(int Descriptor, std::string &Output) {
  char Buffer[4096];
  while (true) {
    ssize_t Received = recv(Descriptor, Buffer, sizeof Buffer, MSG_DONTWAIT);
    if (Received > 0)
      Output.append(Buffer, static_cast<std::size_t>(Received));
    else
      return Received < 0 && errno == EAGAIN;
  }
}

} // namespace orioledoor::wire::testing
