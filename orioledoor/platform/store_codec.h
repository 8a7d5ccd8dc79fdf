// Codec for calls to the store of the platform: HTTP requests and their
// responses.
//
//   StoreHttpRequest Sent = encodeCall(Request.Body);
//   StoreReply Reply = decodeReply(Request, 200, Body, "10.200.1.7:8309");
#ifndef ORIOLEDOOR_PLATFORM_STORE_CODEC_H
#define ORIOLEDOOR_PLATFORM_STORE_CODEC_H

#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/requests/http_types.h"
#include "orioledoor/store/store_types.h"

namespace orioledoor::platform {

struct StoreHttpRequest {
  std::string Method{};
  // Path and query.
  std::string Target{};
  std::string Body{};
};

// Encodes a request. For a range, After is the last key of the previous page;
// it is empty for the first page.
StoreHttpRequest encodeCall(const StoreRequestBody &Request,
                            std::string_view After = {});

// Decodes the response to Request. Peer names the store in errors. Sets *More
// if a range has further pages.
StoreReply decodeReply(const StoreRequest &Request, int Status,
                       std::string_view Body, std::string_view Peer,
                       bool *More = nullptr);

// Returns the era that a response of the store states, whatever its status; 0
// if it states none, -1 if it states something else than a number.
std::int64_t decodeEra(const std::vector<requests::Header> &Headers);

// Returns the path and query of a watch request, which waits up to WaitTime for
// changes after Revision to keys that start with Prefix.
std::string encodeWatch(std::string_view Prefix, std::int64_t Revision,
                        std::chrono::milliseconds WaitTime);

// Decodes the response to a watch request.
//
// Errors, in the status of the update: kOutOfRange if the store no longer has
// the requested history, kUnavailable otherwise.
StoreWatchUpdate decodeWatch(int Status, std::string_view Body,
                             std::string_view Peer);

} // namespace orioledoor::platform

#endif // ORIOLEDOOR_PLATFORM_STORE_CODEC_H
