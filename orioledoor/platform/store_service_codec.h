// The store's side of the protocol of store_codec.h, for stand-ins.
//
//   absl::StatusOr<StoreServiceCall> Call = decodeCall("GET", "/kv-key",
//   "key=a",
//   ""); StoreHttpResponse Answer = encodeReply(*Call, Reply);
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

// A caller waits for changes of keys that start with Prefix after Revision.
struct StoreServiceWatch {
  std::string Prefix{};
  std::int64_t Revision = 0;
  std::chrono::milliseconds Wait{0};
};

// A range, and the key after which its page begins.
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

// Most items of one page of a range, and entries of one transaction.
inline constexpr std::size_t MaxPageItems = 500;
inline constexpr std::size_t MaxTxnEntries = 32;

// Path is still percent-encoded and has no query. Errors: kNotFound: no such
// call; kInvalidArgument: its arguments can't be read or exceed a limit.
absl::StatusOr<StoreServiceCall> decodeCall(std::string_view Method,
                                            std::string_view Path,
                                            std::string_view Query,
                                            std::string_view Body);

// The answer with what the store found. Entries of a range are one page; More
// says that others follow it.
StoreHttpResponse encodeReply(const StoreServiceCall &Call,
                              const StoreReply &Reply, bool More = false);

// The answer that ends a watch; kOutOfRange: the history is gone.
StoreHttpResponse encodeWatchResponse(const StoreWatchUpdate &Update);

} // namespace orioledoor::platform

#endif // ORIOLEDOOR_PLATFORM_STORE_SERVICE_CODEC_H
