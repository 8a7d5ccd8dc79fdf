// A caller's request that the entry node has not answered yet.
#ifndef ORIOLEDOOR_REQUESTS_PENDING_REQUEST_H
#define ORIOLEDOOR_REQUESTS_PENDING_REQUEST_H

#include <cstdint>
#include <optional>
#include <string>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/requests/http_types.h"
#include "orioledoor/requests/message.h"

namespace orioledoor::requests {

struct PendingRequest {
  std::uint64_t CallerId = 0;
  SharedRequest Request;
  std::string OperationId;
  SliceRef Slice;
  std::uint64_t Digest = 0;
  std::uint32_t Attempt = 0;
  // Age at ArrivedAt; empty if the caller did not state it.
  std::optional<Duration> Age;
  Instant ArrivedAt;
  Instant Deadline;
  bool Idempotent = false;
  // Any member of the service may serve it.
  bool AnyMember = false;
  // The caller supplied the operation identifier.
  bool HasCallerOperationId = false;
  // The caller may have sent the operation before, so this node cannot prove
  // that it did not run.
  bool MayBeResend = false;
  // A try of this request may have run the operation.
  bool MayHaveRun = false;

  // Number of tries that may have reached a target, at most MaxTries.
  std::uint32_t Tries = 0;
  std::uint32_t MaxTries = 1;
  // Number of retries of any kind; determines the backoff.
  std::uint32_t RetryCount = 0;
  std::uint32_t HistoryChanges = 0;
  // RequestId of the open try, or 0.
  std::uint64_t OpenTry = 0;
  // Peer address and member of the open or last try.
  std::string Peer;
  MemberId Member;

  // While no try is open: time of the next try.
  std::optional<Instant> RetryAt;
  // Start of the period in which no owner could be reached.
  std::optional<Instant> WaitingSince;
  // After the connection to Peer was lost: end of the wait for the answer.
  std::optional<Instant> AnswerGraceEnd;
  // Answer of the last failed try.
  Answer LastFailure;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_PENDING_REQUEST_H
