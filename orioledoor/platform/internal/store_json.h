// What both sides of the store's protocol share: paths, values and items.
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
// Followed by the lease.
inline constexpr char KeepPrefix[] = "/kv-keep/";
inline constexpr char EndPrefix[] = "/kv-lease-end/";

// Base64 of a value. Throws std::out_of_range or a JSON exception if it is
// none.
std::string decodeValue(const nlohmann::json &Text);
std::string encodeValue(const std::string &Bytes);

// An item with its key, value and revision.
nlohmann::json encodeItem(const StoreEntry &Entry);
StoreEntry decodeItem(const nlohmann::json &Item);

} // namespace orioledoor::platform::internal

#endif // ORIOLEDOOR_PLATFORM_INTERNAL_STORE_JSON_H
