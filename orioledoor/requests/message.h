// Request messages between nodes. All are one-way, and any of them may be lost,
// delayed, duplicated or reordered.
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

// What is known about the execution of an operation when its request ends.
enum class Outcome : std::uint8_t { Ran, NotRun, Unknown };

// Whether the entry node may retry the request.
enum class RetryAdvice : std::uint8_t {
  // A retry would end in the same way.
  None,
  // A target was involved: the retry counts against the caller's maximum number
  // of tries and the retry budget.
  Counted,
  // No target was involved (no owner yet, stale route): only the backoff limits
  // the retry.
  Free,
  // The Forward named an old history. Retry at once with the history in the
  // answer.
  HistoryChanged,
};

// Passes a request from an entry node to the owner.
struct Forward {
  // EntryId is a random number of the entry process. RequestId increases with
  // each try of that process; together they identify the try.
  std::uint64_t EntryId = 0;
  std::uint64_t RequestId = 0;
  // The entry node's peer address, to which the answer goes.
  std::string ReplyTo;
  SliceRef Slice;
  // The history of the slice in the last Answer that the entry node received; 0
  // if none. A delayed copy that names a lost history is refused.
  std::uint64_t History = 0;
  // Age of that history when the Forward is sent, as known to the entry node;
  // never larger than the true age.
  Duration HistoryAge{0};
  SharedRequest Request;
  // Operation identifier; empty for idempotent requests without one.
  std::string OperationId;
  // Which send of the operation by the caller this is, starting at 1; 0 if not
  // stated. Retries by the entry node do not count: it sends a non-idempotent
  // operation again only if it is certain that the operation did not run.
  std::uint32_t Attempt = 0;
  // Time since the first send of the operation; empty if not known.
  std::optional<Duration> Age;
  // Hash that identifies the request in the crash table.
  std::uint64_t Digest = 0;
  // Time until the caller's deadline at the time of sending.
  Duration Remaining{0};
  // How often nodes that were not the owner have passed the message on.
  std::uint8_t Hops = 0;
};

// Answers the Forward with the same EntryId and RequestId.
struct Answer {
  std::uint64_t EntryId = 0;
  std::uint64_t RequestId = 0;
  // Outcome of this try. NotRun also promises that no copy of the Forward will
  // run later.
  Outcome Result = Outcome::Unknown;
  RetryAdvice Retry = RetryAdvice::None;
  // Current history of the slice at the owner, and its age; 0 if not known.
  std::uint64_t History = 0;
  Duration HistoryAge{0};
  HttpAnswer Response;
  MemberId Owner;
  Fence FencingNumber;
  // For errors of nodes: the step and the peer address where the error
  // occurred. Empty for answers of a target.
  std::string Step;
  std::string Peer;
};

// Cancels a try because the caller disconnected or its deadline passed.
struct Cancel {
  std::uint64_t EntryId = 0;
  std::uint64_t RequestId = 0;
};

// A target was lost while it ran a request with this digest. If not Confirmed,
// its connection broke and the probes have not decided yet.
struct CrashNotice {
  std::uint64_t Digest = 0;
  // Identifies the crash, so that a duplicated notice is counted once.
  std::uint64_t CrashId = 0;
  bool Confirmed = true;
};

using Message = std::variant<Forward, Answer, Cancel, CrashNotice>;

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_MESSAGE_H
