// Requests to and replies from the platform's key-value store, as plain data.
//
// The state machines (reducers) return StoreRequests as effects and receive
// StoreReplies as events. The I/O code sends the requests through a
// StoreClient.
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

// Reads the entry of Key, or of all keys that start with Key if Prefix is set.
struct StoreRange {
  std::string Key{};
  bool Prefix = false;
  // The maximum number of entries to return; 0 means no limit. With Descending,
  // the entries come in descending order of keys, so a limit keeps the last
  // ones.
  std::int64_t Limit = 0;
  bool Descending = false;
  // Permits the store to answer from data that is some seconds old, which it
  // may charge at a lower price.
  bool AllowStale = false;
};

// Holds if the last change of Key has ModRevision; 0 means that Key is absent.
struct StoreCompare {
  std::string Key{};
  std::int64_t ModRevision = 0;
};

struct StorePut {
  std::string Key{};
  std::string Value{};
  // The store deletes the key when this lease ends; 0 means no lease.
  std::int64_t Lease = 0;
};

// Applies all Puts and Deletes atomically if all Compares hold; otherwise
// changes nothing.
struct StoreTxn {
  std::vector<StoreCompare> Compares{};
  std::vector<StorePut> Puts{};
  std::vector<std::string> Deletes{};
};

struct StoreLeaseGrant {
  // Sent in whole seconds.
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
  // Chosen by the requester; unique among its outstanding requests.
  std::uint64_t Id = 0;
  StoreRequestBody Body{};
};

// The reply to the request with the same Id.
//
// Errors: kUnavailable if the request was certainly not applied. kUnknown and
// kDeadlineExceeded if a transaction may have been applied, so that the caller
// must read the keys to find out. Any other code means that the store rejected
// the request as invalid and did not apply it.
struct StoreReply {
  std::uint64_t Id = 0;
  absl::Status Status{};
  // For StoreRange: the entries found. For a StoreTxn whose comparison failed:
  // the current entries of the compared keys.
  std::vector<StoreEntry> Entries{};
  // For StoreTxn: whether the comparisons held.
  bool Succeeded = false;
  // For lease requests: the lease and its remaining time to live; 0 means that
  // it has ended.
  std::int64_t Lease = 0;
  std::chrono::seconds TimeToLive{0};
  // The store's revision at the time of the reply.
  std::int64_t Revision = 0;
  // Rises each time the store comes back from an older copy, which lacks the
  // last changes and gives their revisions out again; 0 if it is not stated.
  std::int64_t Era = 0;
};

// A change reported by a watch. Deleted entries have an empty Value.
struct StoreChange {
  StoreEntry Entry{};
  bool Deleted = false;
};

// An update delivered by a watch.
//
// Errors: kOutOfRange if the store has compacted the requested revision. The
// watch has then ended; the client must read the keys again and start a new
// watch. Any other code means that the watch was interrupted and resumes
// without action by the caller.
struct StoreWatchUpdate {
  absl::Status Status{};
  // In the order in which the store applied them. Empty for a progress
  // notification.
  std::vector<StoreChange> Changes{};
  // All changes up to this revision have been delivered. A new watch that
  // starts from it misses nothing.
  std::int64_t Revision = 0;
  // As in StoreReply.
  std::int64_t Era = 0;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_STORE_STORE_TYPES_H
