// Server side of the protocol of store_codec.h, for stand-ins.
//
//   absl::StatusOr<StoreServiceCall> Call =
//       decodeCall("GET", "/kv-key", "key=a", "");
//   StoreHttpResponse Response = encodeReply(*Call, Reply);
#ifndef ORIOLEDOOR_PLATFORM_STORE_SERVICE_CODEC_H
#define ORIOLEDOOR_PLATFORM_STORE_SERVICE_CODEC_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "absl/status/statusor.h"
#include "orioledoor/store/store_types.h"

namespace orioledoor::platform {

// A watch request: waits for changes after Revision to keys that start with
// Prefix.
struct StoreServiceWatch {
  std::string Prefix{};
  std::int64_t Revision = 0;
  std::chrono::milliseconds Wait{0};
};

// A range request. The page starts after the key After.
struct StoreServiceRange {
  StoreRange Range{};
  std::string After{};
};

using StoreServiceCall =
    std::variant<StoreServiceRange, StoreTxn, StoreLeaseGrant,
                 StoreLeaseKeepAlive, StoreLeaseRevoke, StoreServiceWatch>;

struct StoreHttpResponse {
  int Status = 200;
  std::string Body{};
};

// Maximum number of items on one page of a range, and of entries in one
// transaction.
inline constexpr std::size_t MaxPageItems = 500;
inline constexpr std::size_t MaxTxnEntries = 32;

// Decodes a request. Path is percent-encoded and has no query.
//
// Errors: kNotFound if there is no such call; kInvalidArgument if the arguments
// cannot be parsed or exceed a limit.
absl::StatusOr<StoreServiceCall> decodeCall(std::string_view Method,
                                            std::string_view Path,
                                            std::string_view Query,
                                            std::string_view Body);

// Encodes the response to a call. The entries of a range are one page; More
// states that further pages follow.
StoreHttpResponse encodeReply(const StoreServiceCall &Call,
                              const StoreReply &Reply, bool More = false);

// Encodes the response to a watch request. kOutOfRange means that the history
// is no longer available.
StoreHttpResponse encodeWatchResponse(const StoreWatchUpdate &Update);

} // namespace orioledoor::platform

#endif // ORIOLEDOOR_PLATFORM_STORE_SERVICE_CODEC_H
