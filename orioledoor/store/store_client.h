// The concept of a client of the platform's key-value store. The shell of a
// node and the command line are written against it, so that tests can put a
// model in the place of the client.
//
//   template <StoreClient Client> class StoreShell { ... };
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

// call() invokes its callback exactly once and never before it returns.
// watch() reports changes of keys that start with Prefix after a revision; it
// replaces an earlier watch of Prefix, whose callback is not invoked again. A
// watch that failed reports its status and continues where it was, until an
// update says kOutOfRange.
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
