// The concept of a client of the platform's key-value service. The shell of a
// node and the command line are written against it, so that tests can put a
// model in the place of EtcdClient.
//
//   template <StoreClient Client> class StoreShell { ... };
#ifndef ORIOLEDOOR_STORE_STORE_CLIENT_H
#define ORIOLEDOOR_STORE_STORE_CLIENT_H

#include <concepts>
#include <cstdint>
#include <functional>

#include "orioledoor/store/store_types.h"

namespace orioledoor {

using StoreReplyCallback = std::function<void(StoreReply)>;
using StoreWatchCallback = std::function<void(StoreWatchUpdate)>;

// call() invokes its callback exactly once and never before it returns.
// watch() replaces an earlier watch, whose callback is not invoked again, and
// invokes its callback until an update has a Status that is not OK.
template <typename T>
concept StoreClient =
    requires(T &Client, StoreRequest Request, StoreReplyCallback OnReply,
             std::int64_t FromRevision, StoreWatchCallback OnUpdate) {
      { Client.call(Request, OnReply) } -> std::same_as<void>;
      { Client.watch(FromRevision, OnUpdate) } -> std::same_as<void>;
      { Client.stopWatching() } -> std::same_as<void>;
    };

} // namespace orioledoor

#endif // ORIOLEDOOR_STORE_STORE_CLIENT_H
