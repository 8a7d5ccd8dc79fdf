// Client of the platform's key-value store inside a libevent loop.
//
//   PlatformStore Store(Base, {"10.200.1.7", 8309});
//   Store.call({.Id = 1, .Body = StoreRange{.Key = "oriole/", .Prefix = true}},
//              [](StoreReply Reply) { ... });
//   Store.watch("oriole/", Reply.Revision, [](StoreWatchUpdate Update) {...});
#ifndef ORIOLEDOOR_PLATFORM_PLATFORM_STORE_H
#define ORIOLEDOOR_PLATFORM_PLATFORM_STORE_H

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
  // From call() to the reply. The platform slows its store down to 240 ms an
  // answer; after a second a fresh connection is the better try.
  Duration CallTimeout = std::chrono::milliseconds(1000);
  // For the connection of a call or watch. Regions are 16 ms apart there and
  // back; TCP repeats a lost opening packet after a second, so a new attempt is
  // the better try.
  Duration ConnectTimeout = std::chrono::milliseconds(600);
  // How long one watch waits at the store. Each costs a read.
  std::chrono::milliseconds WatchWait{10'000};
  // A waiting watch is given up this long after it should have been answered;
  // a connection that went silent is noticed no later.
  Duration WatchTimeoutMargin = std::chrono::milliseconds(1000);
  // Pause before a watch that failed is opened again. The first time it is
  // opened after WatchPause, since stores cut waiting watches in calm times.
  Duration WatchRetryDelay = std::chrono::milliseconds(250);
  // The pause doubles up to this. The longest leaves two of the three seconds
  // after which a VM counts as in touch with the store again.
  Duration MaxWatchRetryDelay = std::chrono::milliseconds(1000);
  // Pause before the next watch after changes came, until setWatchPause().
  Duration WatchPause = std::chrono::milliseconds(20);
};

struct PlatformStoreCounters {
  std::uint64_t Calls = 0;
  std::uint64_t Failures = 0;
  // Watches that ended without an answer.
  std::uint64_t WatchInterruptions = 0;
};

// Not thread-safe; lives on its loop's thread. Callbacks run from the loop.
class PlatformStore {
public:
  // OnLog, if not empty, receives the records of platform/events.h.
  PlatformStore(event_base *Base, Endpoint Store,
                PlatformStoreLimits Limits = {},
                std::function<void(const LogRecord &)> OnLog = {});
  // Drops open calls and watches without their callbacks.
  ~PlatformStore();
  PlatformStore(const PlatformStore &) = delete;
  PlatformStore &operator=(const PlatformStore &) = delete;

  // The status of the reply is as documented at StoreReply. A range is read
  // page by page; Limit and Descending are applied to what was read, since the
  // store knows neither.
  void call(StoreRequest Request, StoreReplyCallback OnReply);

  // Reports changes of keys that start with Prefix after Revision, until an
  // update says kOutOfRange. Failed watches are reported with their status and
  // opened again. So are those that wait when a call is answered after others
  // got no answer: their connections may be dead, and a store that was silent
  // may have forgotten them. Replaces an earlier watch of the prefix. OnUpdate
  // may call any method.
  void watch(const std::string &Prefix, std::int64_t Revision,
             StoreWatchCallback OnUpdate);

  // Ends the watch of Prefix, if any; its callback is not invoked again.
  void stopWatching(const std::string &Prefix);

  // How long the watch of Prefix pauses after changes came. A burst of changes
  // costs one call a pause and watcher; the changes arrive that much later.
  void setWatchPause(const std::string &Prefix, Duration Pause);

  const PlatformStoreCounters &counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Own;
};

} // namespace orioledoor::platform

#endif // ORIOLEDOOR_PLATFORM_PLATFORM_STORE_H
