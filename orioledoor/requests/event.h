// Input of the request reducer, as plain data. The I/O layer, which owns the
// clocks, sockets and threads of the process, creates the events.
#ifndef ORIOLEDOOR_REQUESTS_EVENT_H
#define ORIOLEDOOR_REQUESTS_EVENT_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/requests/http_types.h"
#include "orioledoor/requests/message.h"

namespace orioledoor {
struct Catalogue;
} // namespace orioledoor

namespace orioledoor::requests {

// Sent by the I/O layer every 20 ms.
struct Tick {
  // UTC, microseconds since 1970. 0 if not known.
  std::int64_t WallMicros = 0;
};

// A request that was received completely from a caller.
struct CallerRequest {
  // Assigned by the I/O layer, unique within the process.
  std::uint64_t CallerId = 0;
  SharedRequest Request;
  // Empty if the caller sent no Idempotency-Key.
  std::string OperationId;
  // Zero if the caller did not set one.
  Duration Timeout{0};
  // Zero if the caller did not set one.
  std::uint32_t MaxTries = 0;
  // From Oriole-Attempt: 1 for the first send, 0 if not stated.
  std::uint32_t Attempt = 0;
  // From Oriole-Age-Ms: time since the first send. Empty if not stated.
  std::optional<Duration> Age;
  // Time since the first byte of the request arrived. The deadline counts from
  // that point, so that a stalled upload does not outlive the resend of its
  // caller.
  Duration Elapsed{0};
  std::int64_t WallMicros = 0;
  // Random number that seeds the generated operation identifier.
  std::uint64_t Random = 0;
};

// The caller closed its connection before the answer.
struct CallerDisconnected {
  std::uint64_t CallerId = 0;
};

struct PeerMessage {
  // The peer address of the sender, to which answers go.
  std::string From;
  Message Body;
};

// A Forward could not be written to a connection, so the peer has not received
// it.
struct PeerSendFailed {
  std::string To;
  std::uint64_t EntryId = 0;
  std::uint64_t RequestId = 0;
};

// The connection to a peer was closed or timed out. Forwards to the peer that
// are still open have no answer yet.
struct PeerLost {
  std::string Address;
};

// How a call to the target ended without a complete answer.
enum class TargetFailure {
  // No byte of the request was written.
  NotSent,
  // The connection broke after at least one byte was written.
  ConnectionLost,
  // The body was shorter or longer than announced.
  Truncated,
  // No answer arrived before the deadline, and the call was canceled.
  TimedOut,
};

// Each CallTarget that is not canceled ends in exactly one TargetAnswered or
// TargetFailed, at the latest when its Timeout has passed.
struct TargetAnswered {
  std::uint64_t CallId = 0;
  HttpAnswer Answer;
};

struct TargetFailed {
  std::uint64_t CallId = 0;
  TargetFailure Failure = TargetFailure::NotSent;
  std::string Detail;
};

// The state of the target, as it announced it or as its probes found it.
struct TargetChanged {
  // Calls may start. Remains true while the target is leaving, until its slices
  // have moved.
  bool Ready = false;
  std::string Service{};
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  // The target checks fencing numbers, so calls may run past the end of the
  // permission.
  bool ChecksFence = false;
  // The target was lost. Calls in flight at that time count as crashes.
  bool Lost = false;
};

struct CatalogueChanged {
  std::shared_ptr<const Catalogue> Current;
};

// See the effects of the same names in the ownership reducer.
struct DrainSlice {
  SliceRef Slice;
};
struct AdoptSlice {
  SliceRef Slice;
  Fence FencingNumber;
  std::string Table;
  bool HistoryLost = false;
};
struct DropSlice {
  SliceRef Slice;
};
// The drain was aborted; the node serves the slice again.
struct ResumeSlice {
  SliceRef Slice;
};

// The coordinator granted a share of a service's spend.
struct SpendGranted {
  ServiceId Service;
  std::uint64_t Amount = 0;
  std::uint32_t Day = 0;
};

using Event =
    std::variant<Tick, CallerRequest, CallerDisconnected, PeerMessage,
                 PeerSendFailed, PeerLost, TargetAnswered, TargetFailed,
                 TargetChanged, CatalogueChanged, DrainSlice, AdoptSlice,
                 DropSlice, ResumeSlice, SpendGranted>;

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_EVENT_H
