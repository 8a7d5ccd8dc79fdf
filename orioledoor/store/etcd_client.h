// A client of the platform's key-value service by the JSON gateway of the etcd
// v3 interface.
//
//   EtcdClient Store(Base, "127.0.0.1", 2379, [&](LogRecord Record) {
//     Log.write(Record);
//   });
//   Store.call({.Id = 1, .Body = StoreRange{.Key = keys::Assignment}},
//              [](StoreReply Reply) { ... });
//   Store.watch(Revision + 1, [](StoreWatchUpdate Update) { ... });
#ifndef ORIOLEDOOR_STORE_ETCD_CLIENT_H
#define ORIOLEDOOR_STORE_ETCD_CLIENT_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "orioledoor/store/store_client.h"
#include "orioledoor/telemetry/log_record.h"

struct event_base;

namespace orioledoor {

// Time limits of an EtcdClient.
struct EtcdClientLimits {
  // From call() to the reply, including the time to connect.
  Duration Call = std::chrono::seconds(2);
  // A watch that was silent for this long is compared with the store by a
  // read. Half of the 5 s within which a change must be in force everywhere
  // remains for the change itself.
  Duration WatchProbe = std::chrono::seconds(2);
  // A watch that has not delivered a change this long after a read showed it
  // has ended.
  Duration WatchLag = std::chrono::milliseconds(500);
};

// Not thread-safe; lives on the thread of its event loop. Callbacks run from
// the loop and may call any method but must not destroy the client.
class EtcdClient {
public:
  using LogCallback = std::function<void(LogRecord)>;

  // Host is an IP number. Base must outlive the client. OnLog may be empty.
  EtcdClient(event_base *Base, std::string_view Host, std::uint16_t Port,
             LogCallback OnLog, EtcdClientLimits Limits = {});
  // Drops open calls and the watch without invoking their callbacks.
  ~EtcdClient();
  EtcdClient(const EtcdClient &) = delete;
  EtcdClient &operator=(const EtcdClient &) = delete;

  // Sends Request at once, on a connection of its own among open calls. The
  // status of the reply is as documented at StoreReply.
  void call(StoreRequest Request, StoreReplyCallback OnReply);

  // Watches all keys under keys::Root for changes from FromRevision on; 0
  // means from now on. Replaces an earlier watch.
  void watch(std::int64_t FromRevision, StoreWatchCallback OnUpdate);

  // Ends the watch, if any; its callback is not invoked again.
  void stopWatching();

private:
  struct Impl;
  std::unique_ptr<Impl> Body;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_STORE_ETCD_CLIENT_H
