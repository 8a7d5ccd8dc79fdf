// MessagePack encoding of control messages, as sent by the peer transport.
//
//   std::string Bytes = encodeMessage(Renew{.From = MemberId{7}});
//   absl::StatusOr<Message> Received = decodeMessage(Bytes);
#ifndef ORIOLEDOOR_OWNERSHIP_MESSAGE_CODEC_H
#define ORIOLEDOOR_OWNERSHIP_MESSAGE_CODEC_H

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "orioledoor/ownership/message.h"

namespace orioledoor::ownership {

// Thread-safe. Linear in the size of the message.
std::string encodeMessage(const Message &Value);

// Errors: kInvalidArgument if Bytes is not exactly one encoded message.
// Thread-safe; memory is bounded by a multiple of the size of Bytes.
absl::StatusOr<Message> decodeMessage(std::string_view Bytes);

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_MESSAGE_CODEC_H
