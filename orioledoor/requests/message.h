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

// Whether the entry node may try again after an answer.
enum class RetryAdvice : std::uint8_t {
  // Another try would end the same way.
  None,
  // A target was involved: the retry counts against the caller's tries and the
  // retry budget.
  Counted,
  // No target was involved (no owner yet, stale route): the retry is paced by
  // the backoff only.
  Free,
  // The Forward named an old history; try again at once with the one in the
  // answer.
  HistoryChanged,
};

// An entry node passes a request to the owner.
struct Forward {
  // Random number of the entry process. RequestId counts up within it, one
  // for each try; together they identify the try.
  std::uint64_t EntryId = 0;
  std::uint64_t RequestId = 0;
  // The entry node's peer address, to which the answer goes.
  std::string ReplyTo;
  SliceRef Slice;
  // The slice's history that the entry node last saw in an Answer; 0 if none.
  // A late copy names an old history and is refused after a loss of it.
  std::uint64_t History = 0;
  // Age of that history as the entry node knows it when it sends; not above
  // the true age.
  Duration HistoryAge{0};
  SharedRequest Request;
  // Operation identifier; empty for idempotent requests without one.
  std::string OperationId;
  // Number of this send of the operation by the caller; 0 if the caller did
  // not state it. Tries of the entry node do not count: it sends a
  // non-idempotent operation again only after proof that it did not run.
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

// The answer to the Forward of the same EntryId and RequestId.
struct Answer {
  std::uint64_t EntryId = 0;
  std::uint64_t RequestId = 0;
  // What is known about this try. NotRun also promises that no copy of the
  // Forward will run later.
  Outcome Result = Outcome::Unknown;
  RetryAdvice Retry = RetryAdvice::None;
  // The current history of the slice at the owner and its age; 0 if not known.
  std::uint64_t History = 0;
  Duration HistoryAge{0};
  HttpAnswer Response;
  MemberId Owner;
  Fence Number;
  // For errors: where they arose.
  std::string Step;
  std::string Peer;
};

// The caller is gone or its deadline has passed.
struct Cancel {
  std::uint64_t EntryId = 0;
  std::uint64_t RequestId = 0;
};

// A target was lost while it ran a request with this digest, or, if not
// Confirmed, its connection broke and its probes are not back yet.
struct CrashNotice {
  std::uint64_t Digest = 0;
  // Distinguishes crashes, so that gossip counts each once.
  std::uint64_t CrashId = 0;
  bool Confirmed = true;
};

using Message = std::variant<Forward, Answer, Cancel, CrashNotice>;

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_MESSAGE_H
