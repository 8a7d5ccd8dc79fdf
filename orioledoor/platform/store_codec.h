// Calls of the platform's store as HTTP messages, and their answers.
//
//   StoreHttpRequest Sent = encodeCall(Request.Body);
//   StoreReply Reply = decodeReply(Request, 200, Body, "10.200.1.7:8309");
#ifndef ORIOLEDOOR_PLATFORM_STORE_CODEC_H
#define ORIOLEDOOR_PLATFORM_STORE_CODEC_H

#include <string>
#include <string_view>

#include "orioledoor/store/store_types.h"

namespace orioledoor::platform {

struct StoreHttpRequest {
  std::string Method{};
  // Path and query.
  std::string Target{};
  std::string Body{};
};

// The page of a range after the key After; empty for the first one.
StoreHttpRequest encodeCall(const StoreRequestBody &Request,
                            std::string_view After = {});

// The reply to Request for an answer with Status and Body; Peer names the store
// in errors. More is set if further pages follow.
StoreReply decodeReply(const StoreRequest &Request, int Status,
                       std::string_view Body, std::string_view Peer,
                       bool *More = nullptr);

// Waits up to WaitTime for changes of keys that start with Prefix after
// Revision.
std::string encodeWatch(std::string_view Prefix, std::int64_t Revision,
                        std::chrono::milliseconds WaitTime);

// kOutOfRange: the store no longer has the history asked for.
StoreWatchUpdate decodeWatch(int Status, std::string_view Body,
                             std::string_view Peer);

} // namespace orioledoor::platform

#endif // ORIOLEDOOR_PLATFORM_STORE_CODEC_H
