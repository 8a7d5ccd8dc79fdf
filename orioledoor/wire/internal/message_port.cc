// Operations with a timeout of zero, which end at once.
#include "orioledoor/wire/internal/message_port.h"

namespace orioledoor::wire::internal {

MessagePort::Operation MessagePort::makeOperation() {
  nng_aio *Made = nullptr;
  nng_aio_alloc(&Made, nullptr, nullptr);
  nng_aio_set_timeout(Made, NNG_DURATION_ZERO);
  return Operation(Made);
}

bool MessagePort::send(nng_socket To, std::string_view Bytes) {
  nng_msg *Message = nullptr;
  if (nng_msg_alloc(&Message, 0) != 0)
    return false;
  if (nng_msg_append(Message, Bytes.data(), Bytes.size()) != 0) {
    nng_msg_free(Message);
    return false;
  }
  nng_aio_set_msg(this->Sending.get(), Message);
  nng_send_aio(To, this->Sending.get());
  nng_aio_wait(this->Sending.get());
  if (nng_aio_result(this->Sending.get()) == 0)
    return true;
  nng_msg_free(Message);
  return false;
}

nng_msg *MessagePort::receive(nng_socket From) {
  nng_recv_aio(From, this->Receiving.get());
  nng_aio_wait(this->Receiving.get());
  return nng_aio_result(this->Receiving.get()) == 0
             ? nng_aio_get_msg(this->Receiving.get())
             : nullptr;
}

} // namespace orioledoor::wire::internal
