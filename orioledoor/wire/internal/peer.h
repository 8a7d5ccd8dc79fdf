// What the peer transport keeps for one peer.
#ifndef ORIOLEDOOR_WIRE_INTERNAL_PEER_H
#define ORIOLEDOOR_WIRE_INTERNAL_PEER_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
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
  std::uint32_t ReceivedEpoch = 0;
  std::uint32_t ReceivedSequence = 0;
  std::uint32_t PreviousEpoch = 0;
  std::uint32_t ReceivedPipe = 0;

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
