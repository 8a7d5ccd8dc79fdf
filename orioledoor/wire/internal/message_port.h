// Sends and receives nng messages without blocking.
//
// nng_sendmsg and nng_recvmsg allocate an nng_aio for every message, which
// costs a system call; MessagePort reuses one for each direction.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_MESSAGE_PORT_H
#define ORIOLEDOOR_WIRE_INTERNAL_MESSAGE_PORT_H

#include <memory>
#include <string_view>

#include <nng/nng.h>

namespace orioledoor::wire::internal {

// Not thread-safe.
class MessagePort {
public:
  // Passes a copy of Bytes to nng. Returns false if the send buffer of the
  // socket is full or the socket is closed.
  bool send(nng_socket Socket, std::string_view Bytes);

  // Returns the next received message, or null if there is none. The caller
  // owns the message and must free it with nng_msg_free().
  nng_msg *receive(nng_socket Socket);

private:
  struct AioDeleter {
    void operator()(nng_aio *Aio) const { nng_aio_free(Aio); }
  };
  using AioPtr = std::unique_ptr<nng_aio, AioDeleter>;
  static AioPtr makeAio();

  AioPtr SendAio = makeAio();
  AioPtr ReceiveAio = makeAio();
};

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_MESSAGE_PORT_H
