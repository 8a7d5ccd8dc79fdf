// The node's own entry in the store and its view of the others'.
//
//   Membership Members(Self, Options);
//   Members.start(Now, Out);              // lease, entry, read, watch
//   Members.replied(Reply, Now, Out);
//   Members.watched(Update, Now, Out);
//
// Works in steps: a lease is granted, the entry is written under it, all
// entries and key maps are read, and a watch of the entries follows from there.
// Key maps change often; nodes tell each other of them, since every change
// would end the watch of every node.
#ifndef ORIOLEDOOR_SIDECAR_MEMBERSHIP_H
#define ORIOLEDOOR_SIDECAR_MEMBERSHIP_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/keyspace/grant_authority.h"
#include "orioledoor/keyspace/key_map.h"
#include "orioledoor/sidecar/node_entry.h"
#include "orioledoor/store/store_types.h"
#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::sidecar {

// Keys of the project in the store.
inline constexpr char StoreRoot[] = "oriole/";
inline constexpr char NodePrefix[] = "oriole/nodes/";
inline constexpr char KeysPrefix[] = "oriole/keys/";

struct MembershipOptions {
  // The entry vanishes this long after the last renewal.
  std::chrono::seconds LeaseDuration{3};
  Duration RenewInterval = std::chrono::milliseconds(900);
  // From the last proof of the entry to the end of every hold.
  Duration AuthorityTime = std::chrono::milliseconds(8000);
  // Pause before a failed step is tried again.
  Duration RetryDelay = std::chrono::milliseconds(250);
  // Pause before entries are read again because history was lost. A store that
  // keeps none costs each node a read and a watch a pause.
  Duration HistoryPause = std::chrono::milliseconds(500);
  // An entry that is missing this long is gone: after an outage of the store
  // nodes need up to two seconds to write theirs again.
  Duration MissingGrace = std::chrono::milliseconds(2200);
};

// A key map with the store revision of its last change.
struct StoredKeyMap {
  keyspace::KeyMap Map;
  std::int64_t Revision = 0;
};

// A node's entry with the store revision of its last change.
struct StoredNode {
  NodeEntry Entry;
  std::int64_t Revision = 0;
  // Set while the entry is absent: since when.
  std::optional<Instant> MissingSince;
};

// What the shell and the reducer are to do.
struct MembershipOutput {
  std::vector<StoreRequest> Calls;
  // Open the watch of NodePrefix after this revision; 0: no change.
  std::int64_t WatchAfter = 0;
  std::vector<LogRecord> Logs;
  bool NodesChanged = false;
  bool KeysChanged = false;
  // Nodes that are gone.
  std::vector<std::string> RemovedNodes;
  // Nodes with a new process. It may have been there for a while.
  std::vector<std::string> ReplacedNodes;
};

// Not thread-safe; no clock, socket or random source.
class Membership {
public:
  Membership(NodeEntry Self, MembershipOptions Options);

  void start(Instant Now, MembershipOutput &Out);
  // The target or its state changed; the entry is written again.
  void setSelf(const NodeEntry &Self, Instant Now, MembershipOutput &Out);
  // Returns whether the reply belongs here.
  bool onStoreReply(const StoreReply &Reply, Instant Now,
                    MembershipOutput &Out);
  void watched(const StoreWatchUpdate &Update, Instant Now,
               MembershipOutput &Out);
  void tick(Instant Now, MembershipOutput &Out);

  // Takes a key map over unless a newer one is known. Returns whether it did.
  bool applyKeyMap(keyspace::KeyMap Map, std::int64_t Revision);

  const NodeEntry &self() const { return this->Self; }
  // All nodes were read at least once.
  bool known() const { return this->Known; }
  // The store answered recently and the view follows it.
  bool isUpToDate(Instant Now) const;
  const keyspace::GrantAuthority &authority() const { return this->Authority; }
  // By store key.
  const std::map<std::string, StoredNode> &nodes() const { return this->Nodes; }
  const std::map<std::string, StoredKeyMap, std::less<>> &keyMaps() const {
    return this->KeyMaps;
  }
  // The store may say, or come to say, that this target has ended; its keys may
  // get other owners until the entry was written anew and the maps were read.
  const routing::TargetRef &possiblyEndedTarget() const {
    return this->PossiblyEndedTarget;
  }
  // Store key of this node's entry.
  const std::string &entryKey() const { return this->EntryKey; }

private:
  enum class Step { Idle, Granting, Writing, Reading, Live };

  void grant(Instant Now, MembershipOutput &Out);
  void write(Instant Now, MembershipOutput &Out);
  void read(Instant Now, MembershipOutput &Out);
  StoreRequest request(StoreRequestBody Body);
  void recordStoreAnswer(bool Answered, const absl::Status &Why, Instant Now,
                         MembershipOutput &Out);
  void applySnapshot(const StoreReply &Reply, Instant Now,
                     MembershipOutput &Out);
  void apply(const StoreEntry &Entry, MembershipOutput &Out);
  void remove(const std::string &Key, std::int64_t Revision, Instant Now);

  NodeEntry Self;
  MembershipOptions Options;
  std::string EntryKey;
  keyspace::GrantAuthority Authority;
  Step At = Step::Idle;
  std::int64_t Lease = 0;
  // Last known store revision of the own entry; 0: absent. Every write is made
  // under it, since one without an answer may be carried out seconds later.
  std::int64_t EntryRevision = 0;
  std::uint64_t NextId = 1;
  // Open calls: 0 if there is none.
  std::uint64_t StepCallId = 0;
  std::uint64_t RenewCallId = 0;
  Instant StepSentAt;
  Instant RenewSentAt;
  Instant RetryAt;
  Instant RenewAt;
  bool EntryChanged = false;
  // The entry as it was sent last.
  NodeEntry Written;
  routing::TargetRef PossiblyEndedTarget;
  // The watch ended: everything is to be read again, at this time or later.
  bool ReadNeeded = false;
  Instant ReadAt;
  bool Known = false;
  bool StoreAnswers = true;
  Instant LastAnswerAt;
  // Since when the store answers without failures.
  Instant UpToDateSince;
  // Vanished entries stay for MissingGrace.
  std::map<std::string, StoredNode> Nodes;
  std::map<std::string, StoredKeyMap, std::less<>> KeyMaps;
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_MEMBERSHIP_H
