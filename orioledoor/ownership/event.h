// Events handled by the ownership reducer.
//
// Every event is plain data, so that replaying a recorded sequence of (event,
// time) pairs produces exactly the same effects.
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

// Sent by the event loop every 20 ms.
struct Tick {
  // UTC, microseconds since 1970; used only as the timestamp of audit records.
  std::int64_t WallMicros = 0;
};

// The local target announced that it is ready for work, or changed its
// announcement.
struct TargetReady {
  std::string Service;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  bool ChecksFence = false;
};

// The local target announced that it is leaving.
struct TargetLeaving {};

// The local target failed its health probes.
struct TargetLost {};

// The process received a request to stop gracefully.
struct StopRequested {};

// A control message from another node.
struct PeerMessage {
  // The sender's address; replies are sent to it.
  std::string From;
  Message Body;
};

struct StoreAnswered {
  StoreReply Reply;
};

// A watch opened by WatchStore delivered changes. If Status is not OK, the
// watch has ended and must be opened again.
struct StoreWatched {
  absl::Status Status;
  std::vector<StoreChange> Changes;
  std::int64_t Revision = 0;
};

// The request reducer completed DrainSlice: no request of the slice is running
// or may start on this node. Table is its encoded deduplication table.
struct SliceDrained {
  SliceRef Slice;
  std::string Table;
};

// The rate at which the local target processed requests of a slice since the
// previous sample.
struct SliceLoad {
  SliceRef Slice;
  // Requests per second.
  double Rate = 0;
};
struct LoadSampled {
  std::vector<SliceLoad> Slices;
};

// The request reducer needs another share of a service's spend. It repeats the
// event until it receives SpendGranted or no longer needs the share.
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
