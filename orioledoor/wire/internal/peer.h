// State that PeerTransport keeps for each peer.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_PEER_H
#define ORIOLEDOOR_WIRE_INTERNAL_PEER_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

#include <nng/nng.h>

#include "orioledoor/base/instant.h"
#include "orioledoor/wire/peer_transport.h"

namespace orioledoor::wire::internal {

struct QueuedFrame {
  Channel FrameChannel;
  FrameTag Tag;
  std::size_t Bytes;
};

// A batch that was passed to nng and is not yet acknowledged.
struct SentBatch {
  std::uint32_t Sequence = 0;
  std::size_t Bytes = 0;
  std::size_t Frames = 0;
};

// Lowest throughput expected of a live peer. The smallest VMs have links of 10
// Mbit/s, which up to 20 nodes that send bodies at the same time share.
inline constexpr double MinLinkBytesPerSecond = 64 * 1024;
// Upper bound on the transfer time added to the ping timeout, so that a dead
// connection is detected within a bounded time however many bytes are in
// flight.
inline constexpr Duration MaxTransferTime = std::chrono::seconds(3);

struct Peer {
  std::string Address;
  std::optional<nng_socket> Socket;
  bool Connected = false;
  Instant DialedAt;
  std::uint32_t Epoch = 0;
  std::uint32_t LastSentSequence = 0;
  std::uint32_t AckedSequence = 0;
  // Sequence number of the last batch that carried frames. Batches that only
  // carry an acknowledgment are not acknowledged themselves; otherwise two
  // peers would exchange acknowledgments forever.
  std::uint32_t LastSequenceWithFrames = 0;
  // Time since which a batch with frames has been unacknowledged. Valid only if
  // AckedSequence is below LastSequenceWithFrames.
  Instant UnackedSince;
  // Set while a ping is outstanding.
  std::optional<Instant> PingSentAt;
  std::uint32_t PingSequence = 0;
  bool PingDue = false;
  bool AckDue = false;
  bool FlushScheduled = false;
  bool ReportedUnreachable = false;
  std::string Batch;
  // The frames encoded in Batch, in order.
  std::vector<QueuedFrame> Frames;
  // Number of answers expected from the peer; the wait for them ends at
  // PendingUntil at the latest.
  std::uint32_t PendingAnswers = 0;
  Instant PendingSince;
  Instant PendingUntil;
  Instant LastReceivedAt;
  Instant LastUsedAt;
  // Unacknowledged batches, oldest first, and their total size.
  std::deque<SentBatch> InFlight;
  std::size_t BytesInFlight = 0;
  std::uint32_t ReceivedEpoch = 0;
  std::uint32_t ReceivedSequence = 0;
  std::uint32_t PreviousReceivedEpoch = 0;
  std::uint32_t ReceivedPipeId = 0;

  // Records that the next batch, with this many frames, was passed to nng.
  void recordSentBatch(std::size_t Bytes, std::size_t Frames) {
    ++this->LastSentSequence;
    this->InFlight.push_back({this->LastSentSequence, Bytes, Frames});
    this->BytesInFlight += Bytes;
  }

  // Returns the number of frames that the peer has not acknowledged. Linear in
  // the number of unacknowledged batches.
  std::size_t framesInFlight() const {
    return std::transform_reduce(
        this->InFlight.begin(), this->InFlight.end(), std::size_t{0},
        std::plus<>(), [](const SentBatch &Batch) { return Batch.Frames; });
  }

  // Records that the peer has received all batches up to AckSequence.
  void recordAcknowledgment(std::uint32_t AckSequence, Instant Now) {
    // A ping is delivered after the batches sent before it, so an
    // acknowledgment of any of them shows that the connection is alive and
    // restarts the ping timeout.
    bool MadeProgress = AckSequence != this->AckedSequence;
    while (!this->InFlight.empty() &&
           this->InFlight.front().Sequence <= AckSequence) {
      this->BytesInFlight -= this->InFlight.front().Bytes;
      this->InFlight.pop_front();
    }
    this->AckedSequence = AckSequence;
    // The peer repeats its last acknowledgment in each batch that it sends,
    // also if it receives nothing.
    if (MadeProgress)
      this->UnackedSince = Now;
    if (!this->PingSentAt)
      return;
    if (AckSequence >= this->PingSequence)
      this->PingSentAt.reset();
    else if (MadeProgress)
      this->PingSentAt = Now;
  }

  // Resets the state of the previous connection after dialing a new one with
  // NewEpoch.
  void resetForNewConnection(std::uint32_t NewEpoch, Instant Now) {
    this->DialedAt = Now;
    this->Epoch = NewEpoch;
    this->LastSentSequence = this->AckedSequence =
        this->LastSequenceWithFrames = 0;
    this->InFlight.clear();
    this->BytesInFlight = 0;
  }

  // Returns whether the outstanding ping was not acknowledged within Timeout
  // plus the time that the bytes in flight take on the slowest link.
  bool pingTimedOut(Instant Now, Duration Timeout) const {
    if (!this->PingSentAt)
      return false;
    auto TransferTime = Duration(
        static_cast<std::int64_t>(static_cast<double>(this->BytesInFlight) /
                                  MinLinkBytesPerSecond * 1e6));
    return Now - *this->PingSentAt >=
           Timeout + std::min(TransferTime, MaxTransferTime);
  }

  // Returns whether a batch or an answer has been outstanding for Limit or
  // longer.
  bool isOverdue(Instant Now, Duration Limit) const {
    if (this->AckedSequence < this->LastSequenceWithFrames &&
        Now - this->UnackedSince >= Limit)
      return true;
    return this->PendingAnswers > 0 &&
           Now - std::max(this->LastReceivedAt, this->PendingSince) >= Limit;
  }
};

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_PEER_H
