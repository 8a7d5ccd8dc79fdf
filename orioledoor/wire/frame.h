// Encoding of frames between nodes and of the batches that carry them. One nng
// message is one batch: a header followed by any number of frames.
//
//   std::string Batch = startBatch("tcp://10.0.0.1:7000");
//   appendFrame(Batch, Channel::Control, Payload);
//   finishBatch(Batch, Header);
//   absl::StatusOr<BatchView> Parsed = parseBatch(Batch);
//
// Layout, with little-endian integers: version (1 byte), flags (1), epoch (4),
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
// The largest value in the store is 1 MB and request bodies are limited to 4
// MiB; the rest leaves room for headers and encoded tables.
inline constexpr std::size_t MaxPayloadBytes = 8U << 20;
// Maximum size of a batch accepted from a peer: one frame with the largest
// payload, and headers.
inline constexpr std::size_t MaxBatchBytes = MaxPayloadBytes + 4096;
inline constexpr std::size_t MaxAddressBytes = 64;

enum class Channel : std::uint8_t { Control = 1, Requests = 2 };

// Identifies a batch among those of its sender and acknowledges the newest
// batch that the sender has received from the recipient.
struct BatchHeader {
  // Identifies the connection; the sender uses a new epoch for every connection
  // it dials.
  std::uint32_t Epoch = 0;
  // 1 for the first batch of an epoch, then incremented by one for each batch.
  std::uint32_t Sequence = 0;
  std::uint32_t AckEpoch = 0;
  std::uint32_t AckSequence = 0;
  // The recipient must acknowledge this batch immediately (a ping).
  bool WantsAck = false;

  friend bool operator==(const BatchHeader &, const BatchHeader &) = default;
};

struct FrameView {
  Channel FrameChannel = Channel::Control;
  std::string_view Payload;
};

// A parsed batch. The views refer to the bytes that were passed to
// parseBatch().
struct BatchView {
  BatchHeader Header;
  std::string_view Sender;
  std::vector<FrameView> Frames;
};

// Returns a batch without frames. Sender must not exceed MaxAddressBytes.
std::string startBatch(std::string_view Sender);

// Appends a frame to a batch. Payload must not exceed MaxPayloadBytes.
void appendFrame(std::string &Batch, Channel FrameChannel,
                 std::string_view Payload);

// Writes Header into a batch that startBatch() returned.
void finishBatch(std::string &Batch, const BatchHeader &Header);

// Parses a batch. The views in the result refer to Bytes.
//
// Errors: kUnimplemented for another protocol version, kInvalidArgument for any
// other malformed input.
absl::StatusOr<BatchView> parseBatch(std::string_view Bytes);

} // namespace orioledoor::wire

#endif // ORIOLEDOOR_WIRE_FRAME_H
