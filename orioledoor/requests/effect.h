// Output of the request reducer: what the I/O layer is to do.
#ifndef ORIOLEDOOR_REQUESTS_EFFECT_H
#define ORIOLEDOOR_REQUESTS_EFFECT_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/requests/http_types.h"
#include "orioledoor/requests/message.h"
#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::requests {

// Sends the final answer to a caller. Emitted once per CallerRequest, unless
// the caller disconnected.
struct ReplyCaller {
  std::uint64_t CallerId = 0;
  HttpAnswer Answer;
};

struct SendPeer {
  std::string To;
  Message Body;
};

// Sends a message to every member. Used for crash notices.
struct Broadcast {
  Message Body;
};

// Calls the target that belongs to this node.
struct CallTarget {
  std::uint64_t CallId = 0;
  SharedRequest Request;
  std::string OperationId;
  SliceRef Slice;
  Fence FencingNumber;
  // After this time the call is canceled and the target is told to stop. It
  // ends before the permission does, unless the target checks fencing numbers.
  Duration Timeout{0};
  // The request must not be written to the target at or after this time.
  Instant NotAfter;
};

// Cancels a call by closing its connection.
struct CancelTarget {
  std::uint64_t CallId = 0;
};

struct SliceDrained {
  SliceRef Slice;
  std::string Table;
};

// Asks the coordinator for a share of a service's spend.
struct RequestSpend {
  ServiceId Service;
  std::uint64_t Amount = 0;
  std::uint32_t Day = 0;
};

struct WriteLog {
  LogRecord Record;
};

using Effect = std::variant<ReplyCaller, SendPeer, Broadcast, CallTarget,
                            CancelTarget, SliceDrained, RequestSpend, WriteLog>;
using Effects = std::vector<Effect>;

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_EFFECT_H
