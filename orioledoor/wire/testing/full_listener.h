// A listening port whose backlog is full, so that the kernel drops SYN packets
// as a network partition or an overloaded server does.
#ifndef ORIOLEDOOR_WIRE_TESTING_FULL_LISTENER_H
#define ORIOLEDOOR_WIRE_TESTING_FULL_LISTENER_H

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cppunit/TestAssert.h>
#include <cstdint>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace orioledoor::wire::testing {

// Not thread-safe.
class FullListener {
public:
  FullListener() {
    this->Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    CPPUNIT_ASSERT(bind(this->Listener, reinterpret_cast<sockaddr *>(&Address),
                        Size) == 0);
    getsockname(this->Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
    this->Port = ntohs(Address.sin_port);
    CPPUNIT_ASSERT(listen(this->Listener, 0) == 0);
    // The kernel accepts one connection more than the length of the backlog.
    for (int &Filler : this->Fillers) {
      Filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      int Result =
          connect(Filler, reinterpret_cast<sockaddr *>(&Address), Size);
      CPPUNIT_ASSERT(Result == 0 || errno == EINPROGRESS);
    }
  }
  ~FullListener() {
    for (int Filler : this->Fillers)
      close(Filler);
    close(this->Listener);
  }
  FullListener(const FullListener &) = delete;
  FullListener &operator=(const FullListener &) = delete;

  std::uint16_t port() const { return this->Port; }

private:
  int Listener = -1;
  std::array<int, 3> Fillers{};
  std::uint16_t Port = 0;
};

} // namespace orioledoor::wire::testing

#endif // ORIOLEDOOR_WIRE_TESTING_FULL_LISTENER_H
