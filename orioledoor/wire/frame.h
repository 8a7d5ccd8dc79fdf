// Frames between nodes and the batches that carry them. One nng message is
// one batch: a header and any number of frames.
//
//   std::string Batch = startBatch("tcp://10.0.0.1:7000");
//   appendFrame(Batch, Channel::Control, Payload);
//   sealBatch(Batch, Header);
//   absl::StatusOr<BatchView> Parsed = parseBatch(Batch);
//
// Layout, integers little-endian: version (1 byte), flags (1), epoch (4),
// sequence (4), acknowledged epoch (4), acknowledged sequence (4), length of
// the sender's address (1), address; then for each frame its channel (1),
// payload length (4) and payload.
#ifndef ORIOLEDOOR_WIRE_FRAME_H
#define ORIOLEDOOR_WIRE_FRAME_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace orioledoor::wire {

inline constexpr std::uint8_t ProtocolVersion = 1;
// The store's largest value is 1 MB and bodies are limited to 4 MiB; the rest
// is room for headers and encoded tables.
inline constexpr std::size_t MaxPayloadBytes = 8U << 20;
// Largest batch accepted from a peer: one full payload and its headers.
inline constexpr std::size_t MaxBatchBytes = MaxPayloadBytes + 4096;
inline constexpr std::size_t MaxAddressBytes = 64;

enum class Channel : std::uint8_t { Control = 1, Requests = 2 };

// Identifies a batch among those of its sender and acknowledges the newest
// batch that the sender received from the receiver.
struct BatchHeader {
  // Changes with every connection that the sender dials.
  std::uint32_t Epoch = 0;
  // 1 for the first batch of an epoch, then growing by one.
  std::uint32_t Sequence = 0;
  std::uint32_t AckEpoch = 0;
  std::uint32_t AckSequence = 0;
  // The receiver is to acknowledge this batch at once (a ping).
  bool WantsAck = false;

  friend bool operator==(const BatchHeader &, const BatchHeader &) = default;
};

struct FrameView {
  Channel Kind = Channel::Control;
  std::string_view Payload;
};

// Views into the bytes that were parsed.
struct BatchView {
  BatchHeader Header;
  std::string_view Sender;
  std::vector<FrameView> Frames;
};

// A batch without frames. Sender is at most MaxAddressBytes long.
std::string startBatch(std::string_view Sender);

// Payload is at most MaxPayloadBytes long.
void appendFrame(std::string &Batch, Channel Kind, std::string_view Payload);

// Writes the header into a batch made by startBatch.
void sealBatch(std::string &Batch, const BatchHeader &Header);

// Errors: kUnimplemented for another protocol version, kInvalidArgument for
// anything else that is not a batch. The views refer to Bytes.
absl::StatusOr<BatchView> parseBatch(std::string_view Bytes);

} // namespace orioledoor::wire

#endif // ORIOLEDOOR_WIRE_FRAME_H
