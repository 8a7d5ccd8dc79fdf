// Input of the request reducer, as plain data.
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

// Sent by the shell every 20 ms.
struct Tick {
  // UTC, microseconds since 1970.
  std::int64_t WallMicros = 0;
};

// A caller's request, fully received.
struct CallerRequest {
  // Chosen by the shell, unique while the process lives.
  std::uint64_t CallerId = 0;
  SharedRequest Request;
  // Empty if the caller sent no Idempotency-Key.
  std::string OperationId;
  // Zero if the caller named none.
  Duration Timeout{0};
  // Zero if the caller named none.
  std::uint32_t MaxTries = 0;
  // From Oriole-Attempt; 1 for a first send, 0 if not stated.
  std::uint32_t Attempt = 0;
  // From Oriole-Age-Ms: time since the first send; empty if not stated.
  std::optional<Duration> Age;
  // Time since the first byte of the request arrived. The deadline counts from
  // there, so that a stalled upload cannot outlive its caller's resend.
  Duration Elapsed{0};
  std::int64_t WallMicros = 0;
  // Random, from the shell; seeds the generated operation identifier.
  std::uint64_t Random = 0;
};

// The caller closed its connection before the answer.
struct CallerGone {
  std::uint64_t CallerId = 0;
};

struct PeerMessage {
  // The sender's address, to which answers go.
  std::string From;
  Message Body;
};

// A Forward could not be handed to the connection: certainly not sent.
struct PeerSendFailed {
  std::string To;
  std::uint64_t EntryId = 0;
  std::uint64_t RequestId = 0;
};

// The connection to a peer went silent or was closed; open forwards to it
// have no answer.
struct PeerLost {
  std::string Address;
};

// How a call at the target ended without a whole answer.
enum class TargetFailure {
  // No byte of the request was written.
  NotSent,
  // The connection broke after bytes were written.
  ConnectionLost,
  // The answer was shorter or longer than it said.
  Truncated,
  // Nothing came before the deadline; the call was cancelled.
  TimedOut,
};

// Each CallTarget that is not cancelled ends in exactly one TargetAnswered or
// TargetFailed, at the latest after its Timeout.
struct TargetAnswered {
  std::uint64_t CallId = 0;
  HttpAnswer Answer;
};

struct TargetFailed {
  std::uint64_t CallId = 0;
  TargetFailure Failure = TargetFailure::NotSent;
  std::string Detail;
};

// What the target announced, or its probes found.
struct TargetChanged {
  // Calls may start. Stays true while the target is leaving, until the slices
  // have moved.
  bool Ready = false;
  std::string Service{};
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  // The target checks fencing numbers, so calls may outlast the permission.
  bool ChecksFence = false;
  // The target was lost; calls in flight at that time count as crashes.
  bool Lost = false;
};

struct CatalogueChanged {
  std::shared_ptr<const Catalogue> Current;
};

// See the effects of the same name of the ownership reducer.
struct DrainSlice {
  SliceRef Slice;
};
struct AdoptSlice {
  SliceRef Slice;
  Fence Number;
  std::string Table;
  bool HistoryLost = false;
};
struct DropSlice {
  SliceRef Slice;
};
// The drain was given up; the node serves the slice again.
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
    std::variant<Tick, CallerRequest, CallerGone, PeerMessage, PeerSendFailed,
                 PeerLost, TargetAnswered, TargetFailed, TargetChanged,
                 CatalogueChanged, DrainSlice, AdoptSlice, DropSlice,
                 ResumeSlice, SpendGranted>;

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_EVENT_H
