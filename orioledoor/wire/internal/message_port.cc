// Implements MessagePort with nng operations that have a timeout of zero and
// therefore complete immediately.
#include "orioledoor/wire/internal/message_port.h"

namespace orioledoor::wire::internal {

MessagePort::AioPtr MessagePort::makeAio() {
  nng_aio *Aio = nullptr;
  nng_aio_alloc(&Aio, nullptr, nullptr);
  nng_aio_set_timeout(Aio, NNG_DURATION_ZERO);
  return AioPtr(Aio);
}

bool MessagePort::send(nng_socket Socket, std::string_view Bytes) {
  nng_msg *Message = nullptr;
  if (nng_msg_alloc(&Message, 0) != 0)
    return false;
  if (nng_msg_append(Message, Bytes.data(), Bytes.size()) != 0) {
    nng_msg_free(Message);
    return false;
  }
  nng_aio_set_msg(this->SendAio.get(), Message);
  nng_send_aio(Socket, this->SendAio.get());
  nng_aio_wait(this->SendAio.get());
  if (nng_aio_result(this->SendAio.get()) == 0)
    return true;
  nng_msg_free(Message);
  return false;
}

nng_msg *MessagePort::receive(nng_socket Socket) {
  nng_recv_aio(Socket, this->ReceiveAio.get());
  nng_aio_wait(this->ReceiveAio.get());
  return nng_aio_result(this->ReceiveAio.get()) == 0
             ? nng_aio_get_msg(this->ReceiveAio.get())
             : nullptr;
}

} // namespace orioledoor::wire::internal
