// Implements synchronous calls by running the event loop until the reply
// arrives.
#include "orioledoor/oriolectl/store_session.h"

#include <memory>
#include <utility>

#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/parse_endpoint.h"
#include "orioledoor/catalogue/settings.h"
#include "orioledoor/oriolectl/event_loop.h"

namespace orioledoor::ctl {
namespace {

constexpr int MaxReadAttempts = 3;
constexpr Duration ReadRetryDelay = std::chrono::milliseconds(200);

} // namespace

StoreSession::StoreSession(EventLoop &Loop, const Endpoint &Address,
                           platform::PlatformStoreLimits Limits)
    : Loop(Loop), Peer(formatEndpoint(Address)), Limits(Limits),
      Client(Loop.base(), Address, Limits) {}

StoreReply StoreSession::call(StoreRequestBody Body) {
  // Shared with the callback, which may run after this call has timed out.
  auto Reply = std::make_shared<std::optional<StoreReply>>();
  this->Client.call(
      {.Id = ++this->LastRequestId, .Body = std::move(Body)},
      [Reply](StoreReply Received) { *Reply = std::move(Received); });
  // The client enforces its own timeout on each call. This longer one only
  // prevents blocking forever if the loop has no events.
  this->Loop.runUntil([&] { return Reply->has_value(); },
                      2 * this->Limits.CallTimeout + std::chrono::seconds(1));
  if (Reply->has_value())
    return std::move(**Reply);
  StoreReply TimeoutReply;
  TimeoutReply.Status =
      makeError(absl::StatusCode::kDeadlineExceeded, "call store", this->Peer,
                "no answer in time");
  return TimeoutReply;
}

absl::StatusOr<std::vector<StoreEntry>>
StoreSession::read(const StoreRange &Range) {
  StoreReply Reply = this->call(Range);
  for (int I = 1; !Reply.Status.ok() && I < MaxReadAttempts; ++I) {
    this->waitFor(ReadRetryDelay);
    Reply = this->call(Range);
  }
  if (!Reply.Status.ok())
    return makeError(absl::StatusCode::kUnavailable, "read " + Range.Key,
                     "store " + this->Peer, toStd(Reply.Status.message()));
  return std::move(Reply.Entries);
}

absl::StatusOr<std::optional<StoreEntry>>
StoreSession::readKey(std::string_view Key) {
  absl::StatusOr<std::vector<StoreEntry>> Entries =
      this->read({.Key = std::string(Key)});
  if (!Entries.ok())
    return Entries.status();
  if (Entries->empty())
    return std::nullopt;
  return std::move(Entries->front());
}

void StoreSession::waitFor(Duration Time) { this->Loop.runFor(Time); }

} // namespace orioledoor::ctl
