// Builds the answers that nodes give in place of a target, and the headers
// that every caller sees.
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

// Reason a request was not answered by a target.
struct Refusal {
  // HTTP status; see the table in section 7.1 of the design.
  int Status = 0;
  Outcome Result = Outcome::NotRun;
  RetryAdvice Retry = RetryAdvice::None;
  // Where the error arose, e.g. "admission". Static storage.
  std::string_view Step{};
  std::string_view Message{};
  // Written as Retry-After, rounded up to whole seconds.
  std::optional<Duration> RetryAfter{};
};

// Reason a request with this verdict must not run; empty if it may.
std::optional<Refusal> refusalFor(CrashTable::DigestState Verdict);

// The answer to Received. Its body is the bare message until makeCallerAnswer.
Answer makeRefusalAnswer(const Forward &Received, const Refusal &Reason);

// Turns an answer into what the caller sees: adds the outcome headers and, for
// errors of nodes, the JSON body with Answered.Body as message. Result
// overrides the outcome of the answer's last try.
HttpAnswer makeCallerAnswer(Answer Reply, Outcome Result);

// Hash of what identifies a request to the crash table: service, method, key
// and body.
std::uint64_t crashDigest(const HttpRequest &Request);

// Hash of the content of an operation: that of the crash table and the path.
std::uint64_t contentDigest(const HttpRequest &Request,
                            std::uint64_t CrashDigest);

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_ANSWERS_H
