// This node's entry in the store and its view of the entries of other nodes.
//
//   Membership Members(Self, Options);
//   Members.start(Now, Out);                // lease, entry, read, watch
//   Members.onStoreReply(Reply, Now, Out);
//   Members.onWatchUpdate(Update, Now, Out);
//
// Joining takes four steps: obtain a lease, write the entry under it, read all
// entries and key maps, and watch the entries from the revision of the read.
// Key maps are not watched, since they change often and every change would end
// the watch of every node; nodes send each other new key maps instead.
//
// All revisions are qualified ones (store_era.h). After the store came back
// from an older copy, the node joins again, and keeps the rows of key maps that
// it knows to be newer than the store's until those are repaired.
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
#include "orioledoor/routing/message.h"
#include "orioledoor/sidecar/node_entry.h"
#include "orioledoor/sidecar/store_era.h"
#include "orioledoor/store/store_types.h"
#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::sidecar {

// Keys of this project in the store.
inline constexpr char StoreRoot[] = "oriole/";
inline constexpr char NodePrefix[] = "oriole/nodes/";
inline constexpr char KeysPrefix[] = "oriole/keys/";

struct MembershipOptions {
  // The entry is removed this long after the last renewal.
  std::chrono::seconds LeaseDuration{3};
  Duration RenewInterval = std::chrono::milliseconds(900);
  // Time from the last proof that the entry is alive to the end of every hold.
  Duration AuthorityLifetime = std::chrono::milliseconds(8000);
  // Pause before a failed step is retried.
  Duration RetryDelay = std::chrono::milliseconds(250);
  // Pause before the entries are read again after the store discarded its
  // history. With a store that keeps no history, each pause costs each node a
  // read and a watch.
  Duration HistoryPause = std::chrono::milliseconds(500);
  // A node whose entry is missing for this long counts as removed. After an
  // outage of the store, nodes need up to two seconds to write their entries
  // again.
  Duration MissingGrace = std::chrono::milliseconds(2200);
  // Interval at which nodes join again after the store came back from an older
  // copy, in the order of their addresses: 470 nodes with up to three writes
  // each, and the renewals of those that have joined (522/s), stay below the
  // store's 1,200 writes/s.
  Duration RejoinInterval = std::chrono::milliseconds(5);
  // An entry that vanished with the copy is kept for this long after the last
  // node's turn: a renewal, after which the node knows, and three calls.
  Duration RejoinGrace = std::chrono::milliseconds(1500);
};

// A key map with the store revision of its last change.
struct StoredKeyMap {
  // The newest rows that this node knows.
  keyspace::KeyMap Map{};
  std::int64_t Revision = 0;
  // What the store holds, while it lacks rows of Map: it came back from an
  // older copy.
  std::optional<keyspace::KeyMap> Document{};
  // The rows that it lacks, and until when they count.
  keyspace::KeyMap Newer{};
  Instant NewerUntil{};
};

// A node's entry with the store revision of its last change.
struct StoredNode {
  NodeEntry Entry;
  std::int64_t Revision = 0;
  // Time since which the entry is absent; empty while it is present.
  std::optional<Instant> MissingSince;
};

// Actions and changes that a call of Membership results in.
struct MembershipOutput {
  std::vector<StoreRequest> Calls;
  // Open the watch of NodePrefix after this revision; 0: no change.
  std::int64_t WatchAfter = 0;
  std::vector<LogRecord> Logs;
  bool NodesChanged = false;
  bool KeysChanged = false;
  // Nodes that were removed.
  std::vector<std::string> RemovedNodes;
  // Nodes with a new process, which may have been running for a while.
  std::vector<std::string> ReplacedNodes;
  // This node's entry after it has joined or its lease had ended, to be sent to
  // all other nodes. They learn of later changes by the target's status.
  std::optional<routing::NodeNotice> Announced;
};

// Not thread-safe. Uses no clock, socket or random source.
class Membership {
public:
  Membership(NodeEntry Self, MembershipOptions Options);

  void start(Instant Now, MembershipOutput &Out);
  // Updates this node's entry after the target or its state changed; the entry
  // is written again.
  void setSelfEntry(const NodeEntry &Self, Instant Now, MembershipOutput &Out);
  // Returns whether the reply belongs to a request of this object.
  bool onStoreReply(const StoreReply &Reply, Instant Now,
                    MembershipOutput &Out);
  void onWatchUpdate(const StoreWatchUpdate &Update, Instant Now,
                     MembershipOutput &Out);
  void tick(Instant Now, MembershipOutput &Out);

  // Handles that the store came back from an older copy, in Era: joins again.
  // To be called before the answer that states the era is handled.
  void onEraRisen(std::int64_t Era, Instant Now, MembershipOutput &Out);
  // Sets the era of the first answer of the store.
  void setFirstEra(std::int64_t Era, Instant Now);
  // Drops rows that are newer than the store's once they prove nothing any
  // more; see rowsCountUntil(). To be called before each event.
  void advanceTo(Instant Now);

  // Returns the era of the store; 0 if it states none.
  std::int64_t era() const { return this->Era; }
  // Returns whether this process saw the era rise less than Time ago.
  bool roseWithin(Duration Time, Instant Now) const {
    return this->EraRisenAt != Instant() && Now - this->EraRisenAt < Time;
  }
  // Returns whether a target may hold keys without a record in the store: this
  // process saw a rise, or read a map from before the era, less than Time ago.
  bool mayMissHolds(Duration Time, Instant Now) const {
    Instant Since = std::max(this->EraRisenAt, this->UnsettledSince);
    return Since != Instant() && Now - Since < Time;
  }
  // Time at which this process first saw an answer of this era.
  Instant eraSeenAt() const { return this->EraSeenAt; }
  // Returns whether this node knows key maps from before the era that count:
  // until the authority that was gained before the era ends, no other target
  // can have got keys that this node knows as its target's.
  bool knowsEarlierRows() const { return this->EarlierRowsCount; }
  // Returns whether it did when the era began.
  bool knewEarlierRows() const {
    return this->RowsCountUntil > this->EraSeenAt;
  }
  // Returns whether the store's map of a service was written in its current
  // era, as far as this node knows.
  bool isSettled(const StoredKeyMap &Stored) const {
    return Stored.Map.Era >= this->Era;
  }
  // Merges rows that another node knows to be newer than the store's. They
  // count for a second, in which the node can write a repair, or for as long as
  // its own ones. Returns whether the known map changed.
  bool applyNewerRows(const keyspace::KeyMap &Rows);
  // Last known store revision of this node's entry; 0 if it is absent.
  std::int64_t entryRevision() const { return this->EntryRevision; }
  // Records the revision that the store has shown for this node's entry, which
  // differs if an unacknowledged write took effect.
  void noteEntryRevision(std::int64_t Revision) {
    if (this->StepCallId == 0 && eraOf(Revision) == this->Era)
      this->EntryRevision = Revision;
  }

  // Stores a key map unless a newer one is known. Returns whether it was
  // stored. Maps of another era than the store's are not: messages of an
  // earlier era are late, and those of a later one can't be judged yet.
  bool applyKeyMap(keyspace::KeyMap Map, std::int64_t Revision);

  // Handles an entry that its node From sent. It is ignored unless it is newer
  // than what the store has shown so far: the watch delivers its end only if it
  // ends later.
  void onAnnouncement(const std::string &From,
                      const routing::NodeNotice &Notice, MembershipOutput &Out);

  const NodeEntry &selfEntry() const { return this->Self; }
  // Number of known nodes that plan before this one, because their address is
  // lower. Linear in the number of nodes.
  std::size_t rank() const;
  // Returns whether all entries were read at least once.
  bool isLoaded() const { return this->Loaded; }
  // Returns whether the store answered recently and this view follows it.
  bool isUpToDate(Instant Now) const;
  // Returns for how long the store has answered without failures; 0 if it does
  // not answer.
  Duration answeredFor(Instant Now) const;
  const keyspace::GrantAuthority &authority() const { return this->Authority; }
  // All known nodes by store key.
  const std::map<std::string, StoredNode> &nodes() const { return this->Nodes; }
  const std::map<std::string, StoredKeyMap, std::less<>> &keyMaps() const {
    return this->KeyMaps;
  }
  // A target that the store shows, or may come to show through a delayed write,
  // as ended. Its keys may get other owners until the entry was written again
  // and the key maps were read.
  const routing::TargetRef &possiblyEndedTarget() const {
    return this->PossiblyEndedTarget;
  }
  // Store key of this node's entry.
  const std::string &entryKey() const { return this->EntryKey; }

private:
  enum class Step { Idle, Granting, Writing, Reading, Live };

  void requestLease(Instant Now, MembershipOutput &Out);
  void writeEntry(Instant Now, MembershipOutput &Out);
  void readAll(Instant Now, MembershipOutput &Out);
  StoreRequest makeRequest(StoreRequestBody Body);
  void recordStoreAnswer(bool Answered, const absl::Status &Why, Instant Now,
                         MembershipOutput &Out);
  void applySnapshot(const StoreReply &Reply, Instant Now,
                     MembershipOutput &Out);
  void applyEntry(const StoreEntry &Entry, MembershipOutput &Out);
  void announce(MembershipOutput &Out) const;
  void markMissing(const std::string &Key, std::int64_t Revision, Instant Now);
  // Marks the entries that the store has not shown in this era as missing.
  void markVanished(Instant Now);

  NodeEntry Self;
  MembershipOptions Options;
  std::string EntryKey;
  keyspace::GrantAuthority Authority;
  Step CurrentStep = Step::Idle;
  std::int64_t Lease = 0;
  // Last known store revision of this node's entry; 0 if it is absent. Every
  // write requires this revision, since a write that was not acknowledged may
  // take effect seconds later.
  std::int64_t EntryRevision = 0;
  std::uint64_t NextId = 1;
  // Ids of open store calls; 0 if there is none.
  std::uint64_t StepCallId = 0;
  std::uint64_t RenewCallId = 0;
  Instant StepSentAt;
  Instant RenewSentAt;
  Instant RetryAt;
  Instant RenewAt;
  bool EntryChanged = false;
  // The entry as it was last sent to the store.
  NodeEntry LastSentEntry;
  routing::TargetRef PossiblyEndedTarget;
  // The watch ended, so everything is to be read again at ReadAt.
  bool ReadNeeded = false;
  Instant ReadAt;
  bool Loaded = false;
  // Store revision up to which all changes of entries are known.
  std::int64_t ViewRevision = 0;
  bool StoreAnswers = true;
  Instant LastAnswerAt;
  // Time since which the store answers without failures.
  Instant UpToDateSince;
  // Entries that vanished are kept for MissingGrace.
  std::map<std::string, StoredNode> Nodes;
  std::map<std::string, StoredKeyMap, std::less<>> KeyMaps;
  std::int64_t Era = 0;
  Instant EraSeenAt;
  Instant EraRisenAt;
  // Time at which a process that saw no rise read a map from before the era.
  Instant UnsettledSince;
  // End of the authority that was gained before the era; Instant() if none was.
  Instant RowsCountUntil;
  bool EarlierRowsCount = false;
  // Time of the last event.
  Instant LastNow;
  // Time at which entries that vanished with the copy count as missing; empty
  // if that is over.
  std::optional<Instant> VanishedAt;
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_MEMBERSHIP_H
