// Implements the encoding and the parser of batches.
#include "orioledoor/wire/frame.h"

#include <algorithm>

#include "orioledoor/base/error.h"

namespace orioledoor::wire {
namespace {

constexpr std::size_t FixedHeaderBytes = 19;
constexpr std::size_t FrameHeaderBytes = 5;
constexpr std::uint8_t WantsAckFlag = 1;

void writeUint32(char *Output, std::uint32_t Value) {
  std::generate_n(Output, 4, [&Value] {
    char Byte = static_cast<char>(Value & 0xff);
    Value >>= 8;
    return Byte;
  });
}

std::uint32_t readUint32(const char *Input) {
  std::uint32_t Value = 0;
  std::for_each(std::make_reverse_iterator(Input + 4),
                std::make_reverse_iterator(Input), [&Value](char Byte) {
                  Value = (Value << 8) | static_cast<std::uint8_t>(Byte);
                });
  return Value;
}

absl::Status malformedError(std::string_view Message) {
  return makeError(absl::StatusCode::kInvalidArgument, "parse frame", "",
                   Message);
}

bool isKnownChannel(std::uint8_t Number) {
  return Number == static_cast<std::uint8_t>(Channel::Control) ||
         Number == static_cast<std::uint8_t>(Channel::Requests);
}

} // namespace

std::string startBatch(std::string_view Sender) {
  std::string Batch(FixedHeaderBytes, '\0');
  Batch[0] = static_cast<char>(ProtocolVersion);
  Batch[FixedHeaderBytes - 1] = static_cast<char>(Sender.size());
  Batch += Sender;
  return Batch;
}

void appendFrame(std::string &Batch, Channel FrameChannel,
                 std::string_view Payload) {
  char Header[FrameHeaderBytes] = {static_cast<char>(FrameChannel)};
  writeUint32(Header + 1, static_cast<std::uint32_t>(Payload.size()));
  Batch.append(Header, FrameHeaderBytes);
  Batch += Payload;
}

void finishBatch(std::string &Batch, const BatchHeader &Header) {
  Batch[1] = static_cast<char>(Header.WantsAck ? WantsAckFlag : 0);
  writeUint32(&Batch[2], Header.Epoch);
  writeUint32(&Batch[6], Header.Sequence);
  writeUint32(&Batch[10], Header.AckEpoch);
  writeUint32(&Batch[14], Header.AckSequence);
}

absl::StatusOr<BatchView> parseBatch(std::string_view Bytes) {
  if (Bytes.empty())
    return malformedError("empty message");
  if (static_cast<std::uint8_t>(Bytes[0]) != ProtocolVersion)
    return makeError(absl::StatusCode::kUnimplemented, "parse frame", "",
                     "protocol version " +
                         std::to_string(static_cast<std::uint8_t>(Bytes[0])) +
                         " is unknown; expected " +
                         std::to_string(ProtocolVersion));
  if (Bytes.size() < FixedHeaderBytes)
    return malformedError("truncated header");
  BatchView Result;
  Result.Header = {.Epoch = readUint32(&Bytes[2]),
                   .Sequence = readUint32(&Bytes[6]),
                   .AckEpoch = readUint32(&Bytes[10]),
                   .AckSequence = readUint32(&Bytes[14]),
                   .WantsAck = (Bytes[1] & WantsAckFlag) != 0};
  std::size_t SenderBytes =
      static_cast<std::uint8_t>(Bytes[FixedHeaderBytes - 1]);
  Bytes.remove_prefix(FixedHeaderBytes);
  if (SenderBytes == 0 || SenderBytes > MaxAddressBytes ||
      SenderBytes > Bytes.size())
    return malformedError("sender's address is missing or too long");
  Result.Sender = Bytes.substr(0, SenderBytes);
  Bytes.remove_prefix(SenderBytes);
  while (!Bytes.empty()) {
    if (Bytes.size() < FrameHeaderBytes)
      return malformedError("truncated frame header");
    auto ChannelNumber = static_cast<std::uint8_t>(Bytes[0]);
    std::size_t Length = readUint32(&Bytes[1]);
    Bytes.remove_prefix(FrameHeaderBytes);
    if (!isKnownChannel(ChannelNumber))
      return malformedError("unknown channel");
    if (Length > MaxPayloadBytes || Length > Bytes.size())
      return malformedError("payload length exceeds the message or the limit");
    Result.Frames.push_back(
        {static_cast<Channel>(ChannelNumber), Bytes.substr(0, Length)});
    Bytes.remove_prefix(Length);
  }
  return Result;
}

} // namespace orioledoor::wire
