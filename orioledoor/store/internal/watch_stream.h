// One watch of all keys under a prefix, and the check that it keeps up with
// the store.
//
// The store sends notices of progress only every ten minutes by default, so a
// connection that went silent would hide changes for that long. After a quiet
// period the stream therefore reads the newest key of the prefix by another
// connection, and reports itself ended if that change does not arrive.
//
//   WatchStream Stream(Base, Later, Pool, Host, Port, Limits, Log, OnUpdate);
//   Stream.open(Revision + 1);
#ifndef ORIOLEDOOR_STORE_INTERNAL_WATCH_STREAM_H
#define ORIOLEDOOR_STORE_INTERNAL_WATCH_STREAM_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "orioledoor/store/etcd_client.h"
#include "orioledoor/store/internal/http_call_pool.h"

namespace orioledoor::internal {

struct PrefixState;
struct WatchMessage;

// Not thread-safe. Must not be destroyed inside OnLog.
class WatchStream {
public:
  // The references and Base must outlive the stream. OnUpdate is invoked from
  // the loop until an update has a Status that is not OK.
  WatchStream(event_base *Base, DeferredQueue &Later, HttpCallPool &Pool,
              std::string_view Host, std::uint16_t Port,
              const EtcdClientLimits &Limits, EtcdClient::LogCallback OnLog,
              StoreWatchCallback OnUpdate);
  ~WatchStream();
  WatchStream(const WatchStream &) = delete;
  WatchStream &operator=(const WatchStream &) = delete;

  // Called once. FromRevision 0 means from now on.
  void open(std::int64_t FromRevision);

private:
  void received(std::string_view Bytes);
  void handle(WatchMessage Message);
  void timerExpired();
  void probe();
  void probed(const PrefixState &State, std::int64_t DeliveredAtStart);
  void end(const absl::Status &Status);
  void deliver(StoreWatchUpdate Update);
  void log(const EventDefinition &Event, std::string Detail);
  bool isBehind() const { return this->Expected > this->Delivered; }

  event_base *Base;
  DeferredQueue &Later;
  HttpCallPool &Pool;
  std::string Host;
  std::uint16_t Port;
  std::string Peer;
  EtcdClientLimits Limits;
  EtcdClient::LogCallback OnLog;
  StoreWatchCallback OnUpdate;
  // Expires with the stream; deferred functions check it first.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  ConnectionPtr Connection;
  EventPtr Timer;
  // Bytes after the last complete line.
  std::string Partial;
  bool Created = false;
  bool Ended = false;
  bool Probing = false;
  // All changes up to this revision have been delivered.
  std::int64_t Delivered = 0;
  // A read has shown a change at or after this revision, if above Delivered.
  std::int64_t Expected = 0;
  // The number of keys at the last read, and Delivered when it was sent.
  std::int64_t LastCount = 0;
  std::int64_t DeliveredAtLastProbe = 0;
};

} // namespace orioledoor::internal

#endif // ORIOLEDOOR_STORE_INTERNAL_WATCH_STREAM_H
