// Conversion of refusals to answers, and the Oriole response headers.
#include "orioledoor/requests/answers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

#include "orioledoor/base/ids.h"

namespace orioledoor::requests {

std::string_view nameOf(Outcome Value) {
  switch (Value) {
  case Outcome::Ran:
    return "ran";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

std::optional<Refusal> refusalFor(CrashTable::DigestState Verdict) {
  if (Verdict == CrashTable::DigestState::Quarantined)
    return Refusal{.Status = 422,
                   .Step = "quarantine",
                   .Message =
                       "two targets were lost while they ran this request"};
  if (Verdict == CrashTable::DigestState::Suspected)
    return Refusal{.Status = 503,
                   .Step = "quarantine",
                   .Message = "a target may have been lost to this request",
                   .RetryAfter = std::chrono::seconds(3)};
  return std::nullopt;
}

Answer makeRefusalAnswer(const Forward &Received, const Refusal &Reason) {
  Answer Reply;
  Reply.EntryId = Received.EntryId;
  Reply.RequestId = Received.RequestId;
  Reply.Result = Reason.Result;
  Reply.Retry = Reason.Retry;
  Reply.Response.Status = Reason.Status;
  Reply.Response.Body = Reason.Message;
  Reply.Step = Reason.Step;
  if (Reason.RetryAfter) {
    auto Seconds = std::chrono::ceil<std::chrono::seconds>(*Reason.RetryAfter);
    Reply.Response.Headers.push_back(
        Header{"Retry-After",
               std::to_string(std::max<std::int64_t>(1, Seconds.count()))});
  }
  return Reply;
}

HttpAnswer makeCallerAnswer(Answer Reply, Outcome Result) {
  HttpAnswer Final = std::move(Reply.Response);
  if (!Reply.Step.empty()) {
    nlohmann::json Body{{"outcome", nameOf(Result)},
                        {"step", Reply.Step},
                        {"peer", Reply.Peer},
                        {"message", Final.Body}};
    Final.Body =
        Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    Final.Headers.push_back(Header{"Content-Type", "application/json"});
  }
  Final.Headers.push_back(
      Header{"Oriole-Outcome", std::string(nameOf(Result))});
  if (Reply.Owner) {
    Final.Headers.push_back(
        Header{"Oriole-Owner", std::to_string(Reply.Owner.Value)});
    Final.Headers.push_back(
        Header{"Oriole-Fence", std::to_string(Reply.FencingNumber.Value)});
  }
  return Final;
}

std::uint64_t crashDigest(const HttpRequest &Request) {
  // Each part seeds the hash of the next, so that different divisions of the
  // same bytes into parts give different digests.
  std::uint64_t Digest = stableHash(Request.Service);
  Digest = stableHash(Request.Method, Digest);
  Digest = stableHash(Request.Key, Digest);
  return stableHash(Request.Body, Digest);
}

std::uint64_t contentDigest(const HttpRequest &Request,
                            std::uint64_t CrashDigest) {
  return stableHash(Request.Path, CrashDigest);
}

} // namespace orioledoor::requests
