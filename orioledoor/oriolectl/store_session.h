// Calls to the store one after another, for commands that read top to bottom.
//
//   StoreSession Store(Loop, Endpoint{"127.0.0.1", 2379});
//   absl::StatusOr<std::vector<StoreEntry>> Entries =
//       Store.read({.Key = keys::AuditPrefix, .Prefix = true});
#ifndef ORIOLEDOOR_ORIOLECTL_STORE_SESSION_H
#define ORIOLEDOOR_ORIOLECTL_STORE_SESSION_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "orioledoor/platform/platform_store.h"
#include "orioledoor/store/store_types.h"

namespace orioledoor {
struct Endpoint;
} // namespace orioledoor

namespace orioledoor::ctl {

class EventLoop;

// An operator rather waits than repeats a command.
inline constexpr platform::PlatformStoreLimits DefaultStoreLimits{
    .CallTimeout = std::chrono::seconds(2)};

// Not thread-safe.
class StoreSession {
public:
  // Loop must outlive the session.
  StoreSession(EventLoop &Loop, const Endpoint &Address,
               platform::PlatformStoreLimits Limits = DefaultStoreLimits);

  // One call; its status is as documented at StoreReply.
  StoreReply call(StoreRequestBody Body);

  // Reads, and tries up to three times. Errors: kUnavailable.
  absl::StatusOr<std::vector<StoreEntry>> read(const StoreRange &Range);

  // The value of Key, or nothing if it is absent. Errors: kUnavailable.
  absl::StatusOr<std::optional<StoreEntry>> readKey(std::string_view Key);

  // Handles events for Time.
  void pause(Duration Time);

  // "IP:PORT" for messages.
  const std::string &peer() const { return this->Peer; }

private:
  EventLoop &Loop;
  std::string Peer;
  platform::PlatformStoreLimits Limits;
  platform::PlatformStore Client;
  std::uint64_t LastId = 0;
};

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_STORE_SESSION_H
