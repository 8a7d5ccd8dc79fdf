// Client of the key-value store of the platform, inside a libevent loop.
//
//   PlatformStore Store(Base, {"10.200.1.7", 8309});
//   Store.call({.Id = 1, .Body = StoreRange{.Key = "oriole/", .Prefix = true}},
//              [](StoreReply Reply) { ... });
//   Store.watch("oriole/", Reply.Revision, [](StoreWatchUpdate Update) {...});
#ifndef ORIOLEDOOR_PLATFORM_PLATFORM_STORE_H
#define ORIOLEDOOR_PLATFORM_PLATFORM_STORE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "orioledoor/catalogue/settings.h"
#include "orioledoor/store/store_client.h"
#include "orioledoor/telemetry/log_record.h"

struct event_base;

namespace orioledoor::platform {

struct PlatformStoreLimits {
  // Time limit from call() to the reply. The platform slows its store down to
  // 240 ms per response, so after a second a new connection is more likely to
  // succeed.
  Duration CallTimeout = std::chrono::milliseconds(1000);
  // Time limit to establish the connection of a call or watch. Regions have a
  // round-trip time of 16 ms, and TCP retransmits a lost SYN packet only after
  // a second, so a new attempt is faster.
  Duration ConnectTimeout = std::chrono::milliseconds(600);
  // Time that one watch request waits at the store for a change, unless
  // setWatchWaits() sets another one. Each watch request counts as a read.
  // Together with WatchPause it must stay below the history of the store, which
  // is 20 s: the store refuses to report a change to a watch that asked for an
  // older revision.
  std::chrono::milliseconds WatchWait{10'000};
  // A watch request fails if it is not answered this long after WatchWait. This
  // bounds the time until a dead connection is detected.
  Duration WatchTimeoutMargin = std::chrono::milliseconds(1000);
  // Delay before a watch that failed more than once in a row is reopened. After
  // the first failure the delay is WatchPause, since stores also end waiting
  // watches during normal operation.
  Duration WatchRetryDelay = std::chrono::milliseconds(250);
  // The delay doubles with each failure up to this value, which leaves two of
  // the three seconds after which a VM counts as connected to the store again.
  Duration MaxWatchRetryDelay = std::chrono::milliseconds(1000);
  // Delay before the next watch request after changes were received, unless
  // setWatchPause() sets another one.
  Duration WatchPause = std::chrono::milliseconds(20);
};

// What a call to the store is for, which decides what it costs.
enum class StoreCallKind : std::uint8_t {
  Read,
  StaleRead,
  Write,
  Lease,
  Renewal,
  Watch,
};
inline constexpr std::size_t StoreCallKinds = 6;

struct PlatformStoreCounters {
  std::uint64_t Calls = 0;
  // The calls by StoreCallKind.
  std::array<std::uint64_t, StoreCallKinds> CallsByKind{};
  std::uint64_t Failures = 0;
  // Watch requests that failed without a response.
  std::uint64_t WatchInterruptions = 0;
};

// Not thread-safe: all calls and callbacks happen on the thread of the event
// loop.
class PlatformStore {
public:
  // OnLog, if not empty, receives the records of platform/events.h.
  PlatformStore(event_base *Base, Endpoint Store,
                PlatformStoreLimits Limits = {},
                std::function<void(const LogRecord &)> OnLog = {});
  // Cancels open calls and watches without invoking their callbacks.
  ~PlatformStore();
  PlatformStore(const PlatformStore &) = delete;
  PlatformStore &operator=(const PlatformStore &) = delete;

  // Sends a request and passes the reply to OnReply. StoreReply documents the
  // status of the reply. A range is read page by page; Limit and Descending are
  // applied to the result, since the store supports neither.
  void call(StoreRequest Request, StoreReplyCallback OnReply);

  // Reports changes after Revision to keys that start with Prefix, until an
  // update has the status kOutOfRange. Replaces an earlier watch of Prefix.
  // OnUpdate may call any method.
  //
  // A failed watch request is reported with its status and reopened. Waiting
  // watch requests are also reopened when a call succeeds after other requests
  // got no response: their connections may be dead, and a store that was
  // unresponsive may have lost them.
  void watch(const std::string &Prefix, std::int64_t Revision,
             StoreWatchCallback OnUpdate);

  // Ends the watch of Prefix, if any. Its callback is not invoked again.
  void stopWatching(const std::string &Prefix);

  // Sets the delay after changes before the watch of Prefix is reopened. A
  // burst of changes costs each watcher one request per delay, and the changes
  // arrive that much later.
  void setWatchPause(const std::string &Prefix, Duration Pause);

  // Sets how long the requests of the watch of Prefix wait at the store for a
  // change. First applies to the first request, to one that follows a change or
  // a failure, and once after Later has changed; Later applies to all others.
  void setWatchWaits(const std::string &Prefix, Duration First, Duration Later);

  const PlatformStoreCounters &counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace orioledoor::platform

#endif // ORIOLEDOOR_PLATFORM_PLATFORM_STORE_H
