// Encodes and checks batches of frames.
#include "orioledoor/wire/frame.h"

#include <algorithm>

#include "orioledoor/base/error.h"

namespace orioledoor::wire {
namespace {

constexpr std::size_t FixedBytes = 19;
constexpr std::size_t FrameHeaderBytes = 5;
constexpr std::uint8_t WantsAckFlag = 1;

void putInteger(char *To, std::uint32_t Value) {
  std::generate_n(To, 4, [&Value] {
    char Byte = static_cast<char>(Value & 0xff);
    Value >>= 8;
    return Byte;
  });
}

std::uint32_t getInteger(const char *From) {
  std::uint32_t Value = 0;
  std::for_each(std::make_reverse_iterator(From + 4),
                std::make_reverse_iterator(From), [&Value](char Byte) {
                  Value = (Value << 8) | static_cast<std::uint8_t>(Byte);
                });
  return Value;
}

absl::Status malformed(std::string_view What) {
  return makeError(absl::StatusCode::kInvalidArgument, "parse frame", "", What);
}

bool isKnown(std::uint8_t Kind) {
  return Kind == static_cast<std::uint8_t>(Channel::Control) ||
         Kind == static_cast<std::uint8_t>(Channel::Requests);
}

} // namespace

std::string startBatch(std::string_view Sender) {
  std::string Batch(FixedBytes, '\0');
  Batch[0] = static_cast<char>(ProtocolVersion);
  Batch[FixedBytes - 1] = static_cast<char>(Sender.size());
  Batch += Sender;
  return Batch;
}

void appendFrame(std::string &Batch, Channel Kind, std::string_view Payload) {
  char Header[FrameHeaderBytes] = {static_cast<char>(Kind)};
  putInteger(Header + 1, static_cast<std::uint32_t>(Payload.size()));
  Batch.append(Header, FrameHeaderBytes);
  Batch += Payload;
}

void sealBatch(std::string &Batch, const BatchHeader &Header) {
  Batch[1] = static_cast<char>(Header.WantsAck ? WantsAckFlag : 0);
  putInteger(&Batch[2], Header.Epoch);
  putInteger(&Batch[6], Header.Sequence);
  putInteger(&Batch[10], Header.AckEpoch);
  putInteger(&Batch[14], Header.AckSequence);
}

absl::StatusOr<BatchView> parseBatch(std::string_view Bytes) {
  if (Bytes.empty())
    return malformed("empty message");
  if (static_cast<std::uint8_t>(Bytes[0]) != ProtocolVersion)
    return makeError(absl::StatusCode::kUnimplemented, "parse frame", "",
                     "protocol version " +
                         std::to_string(static_cast<std::uint8_t>(Bytes[0])) +
                         " is unknown; expected " +
                         std::to_string(ProtocolVersion));
  if (Bytes.size() < FixedBytes)
    return malformed("truncated header");
  BatchView Result;
  Result.Header = {.Epoch = getInteger(&Bytes[2]),
                   .Sequence = getInteger(&Bytes[6]),
                   .AckEpoch = getInteger(&Bytes[10]),
                   .AckSequence = getInteger(&Bytes[14]),
                   .WantsAck = (Bytes[1] & WantsAckFlag) != 0};
  std::size_t SenderBytes = static_cast<std::uint8_t>(Bytes[FixedBytes - 1]);
  Bytes.remove_prefix(FixedBytes);
  if (SenderBytes == 0 || SenderBytes > MaxAddressBytes ||
      SenderBytes > Bytes.size())
    return malformed("sender's address is missing or too long");
  Result.Sender = Bytes.substr(0, SenderBytes);
  Bytes.remove_prefix(SenderBytes);
  while (!Bytes.empty()) {
    if (Bytes.size() < FrameHeaderBytes)
      return malformed("truncated frame header");
    auto Kind = static_cast<std::uint8_t>(Bytes[0]);
    std::size_t Length = getInteger(&Bytes[1]);
    Bytes.remove_prefix(FrameHeaderBytes);
    if (!isKnown(Kind))
      return malformed("unknown channel");
    if (Length > MaxPayloadBytes || Length > Bytes.size())
      return malformed("payload length exceeds the message or the limit");
    Result.Frames.push_back(
        {static_cast<Channel>(Kind), Bytes.substr(0, Length)});
    Bytes.remove_prefix(Length);
  }
  return Result;
}

} // namespace orioledoor::wire
