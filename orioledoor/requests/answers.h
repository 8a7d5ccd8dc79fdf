// Builds the answers that nodes give in place of a target, and the headers that
// are added to every answer to a caller.
#ifndef ORIOLEDOOR_REQUESTS_ANSWERS_H
#define ORIOLEDOOR_REQUESTS_ANSWERS_H

#include <optional>
#include <string>
#include <string_view>

#include "orioledoor/requests/crash_table.h"
#include "orioledoor/requests/message.h"

namespace orioledoor::requests {

// "ran", "not-run" or "unknown".
std::string_view nameOf(Outcome Value);

// Why a node refuses a request instead of calling the target.
struct Refusal {
  // HTTP status; see the table in section 7.1 of the design.
  int Status = 0;
  Outcome Result = Outcome::NotRun;
  RetryAdvice Retry = RetryAdvice::None;
  // The step at which the error occurred, e.g. "admission". Must refer to
  // static storage.
  std::string_view Step{};
  std::string_view Message{};
  // Sent as the Retry-After header, rounded up to whole seconds.
  std::optional<Duration> RetryAfter{};
};

// Returns the refusal for a request whose digest is in this state, or nothing
// if the request may run.
std::optional<Refusal> refusalFor(CrashTable::DigestState Verdict);

// Returns the answer that refuses Received. Its response body is the plain
// message; makeCallerAnswer wraps it in JSON.
Answer makeRefusalAnswer(const Forward &Received, const Refusal &Reason);

// Converts the answer of the last try to the response for the caller: adds the
// outcome headers and, for errors reported by nodes, a JSON body with
// Response.Body as the message. Result replaces the outcome of the last try.
HttpAnswer makeCallerAnswer(Answer Reply, Outcome Result);

// Hash of the fields that identify a request to the crash table: service,
// method, key and body.
std::uint64_t crashDigest(const HttpRequest &Request);

// Hash of the content of an operation: the fields of the crash digest and the
// path.
std::uint64_t contentDigest(const HttpRequest &Request,
                            std::uint64_t CrashDigest);

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_ANSWERS_H
