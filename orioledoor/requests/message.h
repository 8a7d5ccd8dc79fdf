// Request messages between nodes. One-way; any of them may be lost, delayed,
// duplicated or reordered.
#ifndef ORIOLEDOOR_REQUESTS_MESSAGE_H
#define ORIOLEDOOR_REQUESTS_MESSAGE_H

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/requests/http_types.h"

namespace orioledoor::requests {

// What is known about an operation after a request ended.
enum class Outcome : std::uint8_t { Ran, NotRun, Unknown };

// An entry node passes a request to the owner.
struct Forward {
  // Unique at the entry node, also across its tries and restarts (random
  // start).
  std::uint64_t RequestId = 0;
  SliceRef Slice;
  HttpRequest Request;
  // Operation identifier; empty for idempotent requests without one.
  std::string OperationId;
  // Number of this send of the operation, counting those of the caller and of
  // the entry node; 0 if the caller did not state it.
  std::uint32_t Attempt = 0;
  // Time since the first send of the operation; empty if not known.
  std::optional<Duration> Age;
  // Hash of what identifies the request to the crash table.
  std::uint64_t Digest = 0;
  // Time left until the caller's deadline when sent.
  Duration Remaining{0};
  // Times the message was passed on by a node that was not the owner.
  std::uint8_t Hops = 0;
};

// The answer to the Forward of the same RequestId.
struct Answer {
  std::uint64_t RequestId = 0;
  Outcome Result = Outcome::Unknown;
  HttpAnswer Answered;
  MemberId Owner;
  Fence Number;
  // For errors: where they arose.
  std::string Step;
  std::string Peer;
};

// The caller is gone or its deadline has passed.
struct Cancel {
  std::uint64_t RequestId = 0;
};

// A target was lost while it ran a request with this digest.
struct CrashNotice {
  std::uint64_t Digest = 0;
  // Distinguishes crashes, so that gossip counts each once.
  std::uint64_t CrashId = 0;
};

using Message = std::variant<Forward, Answer, Cancel, CrashNotice>;

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_MESSAGE_H
