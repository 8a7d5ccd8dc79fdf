// Output of the ownership reducer: what the shell is to do.
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

// Sends a control message; may be lost.
struct SendPeer {
  std::string To;
  Message Body;
};

struct CallStore {
  StoreRequest Request;
};

// Watches all keys under keys::Root from a revision on; replaces an earlier
// watch.
struct WatchStore {
  std::int64_t FromRevision = 0;
};

struct StopWatching {};

// A catalogue of a higher revision than any before is in force here.
struct CatalogueInForce {
  std::uint64_t Revision = 0;
  // YAML.
  std::string Text;
};

// The request reducer is to stop new work for the slice, let the work in
// flight end and report SliceDrained.
struct DrainSlice {
  SliceRef Slice;
};

// Undoes DrainSlice: the move was given up and this node serves the slice on.
struct ResumeSlice {
  SliceRef Slice;
};

// This node now owns the slice. If HistoryLost, Table is empty and earlier
// operations on the slice are unknown here.
struct AdoptSlice {
  SliceRef Slice;
  Fence Number;
  std::string Table;
  bool HistoryLost = false;
};

// This node gave up the slice or lost it; its table is to be dropped.
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

// All slices moved, duties handed over: the process may exit.
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
