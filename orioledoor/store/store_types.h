// Requests to and replies from the platform's key-value service, as data.
//
// The reducers return StoreRequests as effects and receive StoreReplies as
// events. The shell carries them out with a StoreClient.
//
//   StoreRequest Request{.Id = 7, .Body = StoreTxn{
//       .Compares = {{"orioledoor/assignment", 41}},
//       .Puts = {{"orioledoor/assignment", Text}}}};
#ifndef ORIOLEDOOR_STORE_STORE_TYPES_H
#define ORIOLEDOOR_STORE_STORE_TYPES_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "orioledoor/base/instant.h"

namespace orioledoor {

// One key with its value and the store revision of its last change.
struct StoreEntry {
  std::string Key{};
  std::string Value{};
  std::int64_t ModRevision = 0;
};

// Reads Key, or all keys that start with Key if Prefix is set.
struct StoreRange {
  std::string Key{};
  bool Prefix = false;
  // 0 means no limit. With a limit and Descending the last keys come first.
  std::int64_t Limit = 0;
  bool Descending = false;
  // The reply may be seconds old, if the store then charges less.
  bool MayBeStale = false;
};

// Succeeds only if Key's last change has ModRevision; 0 means "absent".
struct StoreCompare {
  std::string Key{};
  std::int64_t ModRevision = 0;
};

struct StorePut {
  std::string Key{};
  std::string Value{};
  // The key disappears with this lease; 0 means no lease.
  std::int64_t Lease = 0;
};

// Applies all Puts and Deletes if all Compares hold, else nothing.
struct StoreTxn {
  std::vector<StoreCompare> Compares{};
  std::vector<StorePut> Puts{};
  std::vector<std::string> Deletes{};
};

struct StoreLeaseGrant {
  // Whole seconds on the wire.
  std::chrono::seconds TimeToLive{0};
};

struct StoreLeaseKeepAlive {
  std::int64_t Lease = 0;
};

struct StoreLeaseRevoke {
  std::int64_t Lease = 0;
};

using StoreRequestBody = std::variant<StoreRange, StoreTxn, StoreLeaseGrant,
                                      StoreLeaseKeepAlive, StoreLeaseRevoke>;

struct StoreRequest {
  // Chosen by the requester, unique among its open requests.
  std::uint64_t Id = 0;
  StoreRequestBody Body{};
};

// The reply to the request of the same Id.
//
// kUnavailable: certainly not applied. kUnknown and kDeadlineExceeded: a
// transaction may have been applied and must be read back. Any other code: the
// store refused the request as such; not applied.
struct StoreReply {
  std::uint64_t Id = 0;
  absl::Status Status{};
  // For StoreRange; also the current entries of the compared keys after a
  // failed comparison of a StoreTxn.
  std::vector<StoreEntry> Entries{};
  // For StoreTxn: whether the comparisons held.
  bool Succeeded = false;
  // For lease requests: the lease and what is left of it (0: it has ended).
  std::int64_t Lease = 0;
  std::chrono::seconds TimeToLive{0};
  // The store's revision when it answered.
  std::int64_t Revision = 0;
};

// A change seen by a watch. Deleted entries have an empty Value.
struct StoreChange {
  StoreEntry Entry{};
  bool Deleted = false;
};

// What a watch delivered. kOutOfRange: the revision asked for has been
// compacted away, so the watch has ended and the keys must be read first. Any
// other code: the watch was interrupted and continues by itself.
struct StoreWatchUpdate {
  absl::Status Status{};
  // In the order of the store. Empty for a notice of progress.
  std::vector<StoreChange> Changes{};
  // All changes up to this revision have been delivered; a new watch continues
  // after it.
  std::int64_t Revision = 0;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_STORE_STORE_TYPES_H
