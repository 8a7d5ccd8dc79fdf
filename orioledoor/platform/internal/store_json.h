// Paths, values and items of the store's protocol, shared by the client and the
// server side.
#ifndef ORIOLEDOOR_PLATFORM_INTERNAL_STORE_JSON_H
#define ORIOLEDOOR_PLATFORM_INTERNAL_STORE_JSON_H

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "orioledoor/store/store_types.h"

namespace orioledoor::platform::internal {

inline constexpr char KeyPath[] = "/kv-key";
inline constexpr char RangePath[] = "/kv-range";
inline constexpr char WatchPath[] = "/kv-watch";
inline constexpr char TxnPath[] = "/kv-txn";
inline constexpr char LeasePath[] = "/kv-lease";
// Followed by the lease id.
inline constexpr char LeaseKeepAlivePrefix[] = "/kv-keep/";
inline constexpr char LeaseRevokePrefix[] = "/kv-lease-end/";

// Decodes a value from base64. Throws std::out_of_range if Text is not base64,
// or a JSON exception if it is not a string.
std::string decodeValue(const nlohmann::json &Text);
std::string encodeValue(const std::string &Bytes);

// Converts between an entry and a JSON item with key, value and revision.
nlohmann::json encodeItem(const StoreEntry &Entry);
StoreEntry decodeItem(const nlohmann::json &Item);

} // namespace orioledoor::platform::internal

#endif // ORIOLEDOOR_PLATFORM_INTERNAL_STORE_JSON_H
