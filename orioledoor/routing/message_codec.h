// MessagePack encoding of messages between nodes.
//
//   std::string Bytes = encodeMessage(CancelForward{.Id = 7});
//   absl::StatusOr<Message> Decoded = decodeMessage(Bytes);
#ifndef ORIOLEDOOR_ROUTING_MESSAGE_CODEC_H
#define ORIOLEDOOR_ROUTING_MESSAGE_CODEC_H

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "orioledoor/routing/message.h"

namespace orioledoor::routing {

std::string encodeMessage(const Message &Sent);

// Returns kInvalidArgument if Bytes are not a valid message.
absl::StatusOr<Message> decodeMessage(std::string_view Bytes);

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_MESSAGE_CODEC_H
