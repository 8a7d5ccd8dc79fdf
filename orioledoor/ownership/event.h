// Input of the ownership reducer.
//
// Every event is plain data, so that a recorded log of (event, time) pairs
// replays to the same effects bit for bit.
#ifndef ORIOLEDOOR_OWNERSHIP_EVENT_H
#define ORIOLEDOOR_OWNERSHIP_EVENT_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/message.h"
#include "orioledoor/store/store_types.h"

namespace orioledoor::ownership {

// Sent by the shell every 20 ms.
struct Tick {
  // UTC, microseconds since 1970; only used to date audit records.
  std::int64_t WallMicros = 0;
};

// The target beside this node announced itself and is ready for work, or
// changed what it announced.
struct TargetReady {
  std::string Service;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  bool ChecksFence = false;
};

// The target beside this node announced that it is leaving.
struct TargetLeaving {};

// The target beside this node was lost: its probes failed.
struct TargetLost {};

// The process was asked to stop gracefully.
struct StopRequested {};

// A control message from another node.
struct PeerMessage {
  // The sender's address, to which replies go.
  std::string From;
  Message Body;
};

struct StoreAnswered {
  StoreReply Reply;
};

// A watch opened by WatchStore delivered changes. If Status is not OK the
// watch has ended and is to be opened again.
struct StoreWatched {
  absl::Status Status;
  std::vector<StoreChange> Changes;
  std::int64_t Revision = 0;
};

// The request reducer finished DrainSlice: no request of the slice runs or
// may start here. Table is its encoded deduplication table.
struct SliceDrained {
  SliceRef Slice;
  std::string Table;
};

// Work that this node's target did for a slice since the last sample.
struct SliceLoad {
  SliceRef Slice;
  // Requests per second.
  double Rate = 0;
};
struct LoadSampled {
  std::vector<SliceLoad> Slices;
};

// The request reducer needs a further share of a service's spend; repeated by
// it until SpendGranted comes or the need ends.
struct SpendWanted {
  ServiceId Service;
  std::uint64_t Amount = 0;
  // Days since 1970, UTC.
  std::uint32_t Day = 0;
};

using Event =
    std::variant<Tick, TargetReady, TargetLeaving, TargetLost, StopRequested,
                 PeerMessage, StoreAnswered, StoreWatched, SliceDrained,
                 LoadSampled, SpendWanted>;

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_EVENT_H
