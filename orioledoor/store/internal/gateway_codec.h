// Translation between store requests and the JSON gateway of the etcd v3
// interface: keys and values in base64, 64-bit integers as strings.
//
//   Pool.post(gatewayPath(Body), encodeRequest(Body), ...);
//   StoreReply Reply = decodeReply(Request, Result, "127.0.0.1:2379");
#ifndef ORIOLEDOOR_STORE_INTERNAL_GATEWAY_CODEC_H
#define ORIOLEDOOR_STORE_INTERNAL_GATEWAY_CODEC_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "orioledoor/store/internal/http_result.h"
#include "orioledoor/store/store_types.h"

namespace orioledoor::internal {

// One message of a watch's stream of answers.
struct WatchMessage {
  // The store registered the watch.
  bool Created = false;
  // The store ended the watch.
  bool Canceled = false;
  std::string CancelReason;
  // The oldest revision that the store still has, if that is why it ended.
  std::int64_t CompactRevision = 0;
  // The store's revision when it sent the message.
  std::int64_t Revision = 0;
  std::vector<StoreChange> Changes;
};

std::string_view gatewayPath(const StoreRequestBody &Body);
std::string encodeRequest(const StoreRequestBody &Body);

// The reply to Request for any outcome of its call; Peer names the store in
// errors.
StoreReply decodeReply(const StoreRequest &Request, const HttpResult &Result,
                       std::string_view Peer);

// Creates a watch of all keys that start with Prefix. FromRevision 0 means
// from now on.
std::string encodeWatch(std::string_view Prefix, std::int64_t FromRevision);

// One line of a watch's answer; an error if the line is not a message or
// carries an error of the store.
absl::StatusOr<WatchMessage> decodeWatchMessage(std::string_view Line,
                                                std::string_view Peer);

// What a read shows about the keys that start with a prefix.
struct PrefixState {
  // Of the key that was written last; 0 if there is none.
  std::int64_t NewestRevision = 0;
  std::int64_t Count = 0;
};

// A range request for the state of Prefix, which reads one key and no value.
std::string encodePrefixState(std::string_view Prefix);
absl::StatusOr<PrefixState> decodePrefixState(const HttpResult &Result);

} // namespace orioledoor::internal

#endif // ORIOLEDOOR_STORE_INTERNAL_GATEWAY_CODEC_H
