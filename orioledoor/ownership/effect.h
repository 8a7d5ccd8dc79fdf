// Effects returned by the ownership reducer, to be executed by the event loop.
#ifndef ORIOLEDOOR_OWNERSHIP_EFFECT_H
#define ORIOLEDOOR_OWNERSHIP_EFFECT_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/ownership/message.h"
#include "orioledoor/store/store_types.h"
#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::ownership {

// Sends a control message. The message may be lost.
struct SendPeer {
  std::string To;
  Message Body;
};

struct CallStore {
  StoreRequest Request;
};

// Watches all keys under keys::Root from a revision on. Replaces any earlier
// watch.
struct WatchStore {
  std::int64_t FromRevision = 0;
};

struct StopWatching {};

// A catalogue with a higher revision than any before it is now active on this
// node.
struct CatalogueInForce {
  std::uint64_t Revision = 0;
  // YAML.
  std::string Text;
};

// Tells the request reducer to accept no new work for the slice, let work in
// flight finish and report SliceDrained.
struct DrainSlice {
  SliceRef Slice;
};

// Cancels DrainSlice: the move was abandoned and this node continues to serve
// the slice.
struct ResumeSlice {
  SliceRef Slice;
};

// This node now owns the slice. If HistoryLost is set, Table is empty and the
// earlier operations on the slice are unknown on this node.
struct AdoptSlice {
  SliceRef Slice;
  Fence FencingNumber;
  std::string Table;
  bool HistoryLost = false;
};

// This node handed the slice over or lost it. Its deduplication table must be
// discarded.
struct DropSlice {
  SliceRef Slice;
};

// The coordinator granted this node a share of a service's spend.
struct SpendGranted {
  ServiceId Service;
  std::uint64_t Amount = 0;
  // Days since 1970, UTC.
  std::uint32_t Day = 0;
};

// All slices are moved and the guardian assignments handed over: the process
// may exit.
struct StopCompleted {};

struct WriteLog {
  LogRecord Record;
};

using Effect =
    std::variant<SendPeer, CallStore, WatchStore, StopWatching,
                 CatalogueInForce, DrainSlice, ResumeSlice, AdoptSlice,
                 DropSlice, SpendGranted, StopCompleted, WriteLog>;
using Effects = std::vector<Effect>;

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_EFFECT_H
