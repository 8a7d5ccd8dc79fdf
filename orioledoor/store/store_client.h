// The concept that a client of the platform's key-value store satisfies, such
// as PlatformStore (platform/platform_store.h). Code that is a template over it
// can be tested with an in-memory model of the store.
//
//   static_assert(StoreClient<PlatformStore>);
#ifndef ORIOLEDOOR_STORE_STORE_CLIENT_H
#define ORIOLEDOOR_STORE_STORE_CLIENT_H

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>

#include "orioledoor/store/store_types.h"

namespace orioledoor {

using StoreReplyCallback = std::function<void(StoreReply)>;
using StoreWatchCallback = std::function<void(StoreWatchUpdate)>;

// A client of the key-value store.
//
// call() sends Request and invokes OnReply exactly once, always after call()
// has returned.
//
// watch() reports changes after Revision of keys that start with Prefix. It
// replaces an earlier watch of the same Prefix, whose callback is not invoked
// again. A watch that is interrupted reports an update with an error status and
// resumes after the last revision it delivered. It ends with an update whose
// status is kOutOfRange; see StoreWatchUpdate.
//
// stopWatching() ends the watch of Prefix.
template <typename T>
concept StoreClient =
    requires(T &Client, StoreRequest Request, StoreReplyCallback OnReply,
             std::string Prefix, std::int64_t Revision,
             StoreWatchCallback OnUpdate) {
      { Client.call(Request, OnReply) } -> std::same_as<void>;
      { Client.watch(Prefix, Revision, OnUpdate) } -> std::same_as<void>;
      { Client.stopWatching(Prefix) } -> std::same_as<void>;
    };

} // namespace orioledoor

#endif // ORIOLEDOOR_STORE_STORE_CLIENT_H
