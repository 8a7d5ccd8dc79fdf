// Sends and receives nng messages without waiting.
//
// nng_sendmsg and nng_recvmsg make a new operation for every message, which
// costs a system call; the port reuses its own.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_MESSAGE_PORT_H
#define ORIOLEDOOR_WIRE_INTERNAL_MESSAGE_PORT_H

#include <memory>
#include <string_view>

#include <nng/nng.h>

namespace orioledoor::wire::internal {

// Not thread-safe.
class MessagePort {
public:
  // Gives a copy of Bytes to nng; false if its buffer is full or the socket is
  // closed.
  bool send(nng_socket To, std::string_view Bytes);

  // The next message received, or null. The caller frees it.
  nng_msg *receive(nng_socket From);

private:
  struct Deleter {
    void operator()(nng_aio *Owned) const { nng_aio_free(Owned); }
  };
  using Operation = std::unique_ptr<nng_aio, Deleter>;
  static Operation makeOperation();

  Operation Sending = makeOperation();
  Operation Receiving = makeOperation();
};

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_MESSAGE_PORT_H
