// What the peer transport keeps for one peer.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_PEER_H
#define ORIOLEDOOR_WIRE_INTERNAL_PEER_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <nng/nng.h>

#include "orioledoor/base/instant.h"
#include "orioledoor/wire/peer_transport.h"

namespace orioledoor::wire::internal {

struct QueuedFrame {
  Channel Kind;
  FrameTag Tag;
  std::size_t Bytes;
};

// A batch that was handed to the connection.
struct SentBatch {
  std::uint32_t Sequence = 0;
  std::size_t Bytes = 0;
};

// The slowest way of a batch to a live peer. The smallest VMs have links of
// 10 Mbit/s, shared by up to 20 nodes that send bodies at once.
inline constexpr double SlowestBytesPerSecond = 64 * 1024;
// A silent connection is found this much later at most, whatever was sent.
inline constexpr Duration MaxTransferTime = std::chrono::seconds(3);

struct Peer {
  std::string Address;
  std::optional<nng_socket> Socket;
  bool Connected = false;
  Instant DialledAt;
  std::uint32_t Epoch = 0;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledged = 0;
  // The last batch with frames. Batches that only acknowledge need no
  // acknowledgement, else two peers would never fall silent.
  std::uint32_t LastWithFrames = 0;
  // Since when such a batch is unacknowledged; valid if Acknowledged is below
  // LastWithFrames.
  Instant UnacknowledgedSince;
  // Set while a ping is unanswered.
  std::optional<Instant> PingedAt;
  std::uint32_t PingSequence = 0;
  bool PingDue = false;
  bool AckDue = false;
  bool Queued = false;
  bool ReportedUnreachable = false;
  std::string Batch;
  // The frames in Batch.
  std::vector<QueuedFrame> Frames;
  // Answers awaited, of which the last one until AwaitUntil.
  std::uint32_t Awaited = 0;
  Instant AwaitedSince;
  Instant AwaitUntil;
  Instant LastHeard;
  Instant LastUsed;
  // Batches that were not acknowledged, oldest first, and their bytes.
  std::deque<SentBatch> InFlight;
  std::size_t BytesInFlight = 0;
  std::uint32_t ReceivedEpoch = 0;
  std::uint32_t ReceivedSequence = 0;
  std::uint32_t PreviousEpoch = 0;
  std::uint32_t ReceivedPipe = 0;

  // The next batch was handed over.
  void noteSent(std::size_t Bytes) {
    ++this->Sequence;
    this->InFlight.push_back({this->Sequence, Bytes});
    this->BytesInFlight += Bytes;
  }

  // The peer has received everything up to a sequence number.
  void noteAcknowledged(std::uint32_t UpTo, Instant Now) {
    // A ping waits its turn behind batches that are on their way; as long as
    // they arrive, the connection lives.
    bool Progress = UpTo != this->Acknowledged;
    while (!this->InFlight.empty() && this->InFlight.front().Sequence <= UpTo) {
      this->BytesInFlight -= this->InFlight.front().Bytes;
      this->InFlight.pop_front();
    }
    this->Acknowledged = UpTo;
    this->UnacknowledgedSince = Now;
    if (!this->PingedAt)
      return;
    if (UpTo >= this->PingSequence)
      this->PingedAt.reset();
    else if (Progress)
      this->PingedAt = Now;
  }

  // A new connection: what the earlier one carried no longer counts.
  void noteDialled(std::uint32_t NewEpoch, Instant Now) {
    this->DialledAt = Now;
    this->Epoch = NewEpoch;
    this->Sequence = this->Acknowledged = this->LastWithFrames = 0;
    this->InFlight.clear();
    this->BytesInFlight = 0;
  }

  // Whether a ping was left unanswered for Timeout, and for the time that the
  // bytes before it may take.
  bool pingTimedOut(Instant Now, Duration Timeout) const {
    if (!this->PingedAt)
      return false;
    auto Transfer = Duration(
        static_cast<std::int64_t>(static_cast<double>(this->BytesInFlight) /
                                  SlowestBytesPerSecond * 1e6));
    return Now - *this->PingedAt >=
           Timeout + std::min(Transfer, MaxTransferTime);
  }

  // Whether a batch or an answer is outstanding for Limit or longer.
  bool isOverdue(Instant Now, Duration Limit) const {
    if (this->Acknowledged < this->LastWithFrames &&
        Now - this->UnacknowledgedSince >= Limit)
      return true;
    return this->Awaited > 0 &&
           Now - std::max(this->LastHeard, this->AwaitedSince) >= Limit;
  }
};

} // namespace orioledoor::wire::internal

#endif // ORIOLEDOOR_WIRE_INTERNAL_PEER_H
