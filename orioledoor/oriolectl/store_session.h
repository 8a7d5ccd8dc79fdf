// A synchronous client of the store for commands that are written as sequential
// code.
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

// Longer than the default timeout: an operator prefers a slow command to one
// that has to be repeated.
inline constexpr platform::PlatformStoreLimits DefaultStoreLimits{
    .CallTimeout = std::chrono::seconds(2)};

// Sends one request at a time and runs the event loop until it completes. Not
// thread-safe.
class StoreSession {
public:
  // Loop must outlive the session.
  StoreSession(EventLoop &Loop, const Endpoint &Address,
               platform::PlatformStoreLimits Limits = DefaultStoreLimits);

  // Makes one call without retries. StoreReply documents the status. Returns
  // kDeadlineExceeded if the event loop delivers no reply.
  StoreReply call(StoreRequestBody Body);

  // Reads Range with up to three attempts. Errors: kUnavailable.
  absl::StatusOr<std::vector<StoreEntry>> read(const StoreRange &Range);

  // Returns the entry of Key, or std::nullopt if the key is absent. Errors:
  // kUnavailable.
  absl::StatusOr<std::optional<StoreEntry>> readKey(std::string_view Key);

  // Handles events for the duration Time.
  void waitFor(Duration Time);

  // The store's address as "IP:PORT", for messages.
  const std::string &peer() const { return this->Peer; }

private:
  EventLoop &Loop;
  std::string Peer;
  platform::PlatformStoreLimits Limits;
  platform::PlatformStore Client;
  std::uint64_t LastRequestId = 0;
};

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_STORE_SESSION_H
