// MessagePack encoding of the request messages.
//
//   std::string Bytes = encodeMessage(Forward{...});
//   absl::StatusOr<Message> Decoded = decodeMessage(Bytes);
#ifndef ORIOLEDOOR_REQUESTS_MESSAGE_CODEC_H
#define ORIOLEDOOR_REQUESTS_MESSAGE_CODEC_H

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "orioledoor/requests/message.h"

namespace orioledoor::requests {

// Copies each body once, to the result. Thread-safe.
std::string encodeMessage(const Message &Value);

// Copies each body once, from Bytes. Returns kDataLoss unless Bytes is exactly
// one message; throws nothing. Thread-safe.
absl::StatusOr<Message> decodeMessage(std::string_view Bytes);

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_MESSAGE_CODEC_H
