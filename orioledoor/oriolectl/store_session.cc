// Runs the event loop until the store has answered.
#include "orioledoor/oriolectl/store_session.h"

#include <memory>
#include <utility>

#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/parse_endpoint.h"
#include "orioledoor/catalogue/settings.h"
#include "orioledoor/oriolectl/event_loop.h"

namespace orioledoor::ctl {
namespace {

constexpr int ReadAttempts = 3;
constexpr Duration ReadPause = std::chrono::milliseconds(200);

} // namespace

StoreSession::StoreSession(EventLoop &Loop, const Endpoint &Address,
                           platform::PlatformStoreLimits Limits)
    : Loop(Loop), Peer(formatEndpoint(Address)), Limits(Limits),
      Client(Loop.base(), Address, Limits) {}

StoreReply StoreSession::call(StoreRequestBody Body) {
  // Shared with the callback, which may run after this call gave up.
  auto Reply = std::make_shared<std::optional<StoreReply>>();
  this->Client.call(
      {.Id = ++this->LastId, .Body = std::move(Body)},
      [Reply](StoreReply Received) { *Reply = std::move(Received); });
  // The client ends each call within its own limit; the second limit only
  // guards against a loop without events.
  this->Loop.runUntil([&] { return Reply->has_value(); },
                      2 * this->Limits.CallTimeout + std::chrono::seconds(1));
  if (Reply->has_value())
    return std::move(**Reply);
  StoreReply Late;
  Late.Status = makeError(absl::StatusCode::kDeadlineExceeded, "call store",
                          this->Peer, "no answer in time");
  return Late;
}

absl::StatusOr<std::vector<StoreEntry>>
StoreSession::read(const StoreRange &Range) {
  StoreReply Reply = this->call(Range);
  for (int I = 1; !Reply.Status.ok() && I < ReadAttempts; ++I) {
    this->pause(ReadPause);
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

void StoreSession::pause(Duration Time) { this->Loop.pause(Time); }

} // namespace orioledoor::ctl
