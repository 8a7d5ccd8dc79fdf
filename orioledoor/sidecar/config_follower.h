// Follows what the operator writes to the store, the configuration and the
// evacuations of failure domains: reads the keys below a prefix, watches them
// from the revision of the read, and reads them again when the store has
// discarded the history that the watch needs. A watch can fail silently, so
// nodes also announce which version they have in force, and a node with an
// older version asks the store and then one of those nodes.
//
//   ConfigFollower Follower("op/");
//   ConfigActions Actions = Follower.start();
//   Actions = Follower.onStoreReply(Reply, Now);       // reply to the read
//   Actions = Follower.onWatchUpdate(Update, Now);
//   Follower.onVersionSeen("tcp://10.1.0.9:7620", 12, Now);
//   Actions = Follower.tick(Now);
//   Follower.setVersionInForce(12, Now);
#ifndef ORIOLEDOOR_SIDECAR_CONFIG_FOLLOWER_H
#define ORIOLEDOOR_SIDECAR_CONFIG_FOLLOWER_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "orioledoor/sidecar/evacuation_follower.h"
#include "orioledoor/store/store_types.h"

namespace orioledoor::sidecar {

// Actions that the caller is to take next.
struct ConfigActions {
  // Read this range; the reply goes to onStoreReply().
  std::optional<StoreRange> Read{};
  // Watch the keys below the prefix for changes after this revision.
  std::optional<std::int64_t> WatchAfter{};
  // A configuration to decode and apply.
  std::optional<StoreEntry> NewConfig{};
  // Request the configuration from this node.
  std::optional<std::string> FetchFromNode{};
  // The evacuations to apply.
  std::optional<EvacuationsChanged> Evacuations{};
  // Keys below the prefix that have no meaning, to be logged.
  std::vector<InvalidOperatorKey> InvalidKeys{};
};

// Not thread-safe. Uses no clock or socket.
class ConfigFollower {
public:
  explicit ConfigFollower(std::string Prefix) : Prefix(std::move(Prefix)) {}

  ConfigActions start();
  ConfigActions onStoreReply(const StoreReply &Reply, Instant Now);
  ConfigActions onWatchUpdate(const StoreWatchUpdate &Update, Instant Now);
  // Handles that the store came back from an older copy: reads again at ReadAt.
  // A version in force is never replaced by an older one, and evacuations stay
  // in force for 5 s.
  void onStoreRolledBack(Instant ReadAt);
  // Records that Node has this version in force.
  void onVersionSeen(const std::string &Node, std::uint64_t Version,
                     Instant Now);
  // Records that this node has this version in force now.
  void setVersionInForce(std::uint64_t Version, Instant Now);
  // Sets how long sending one configuration occupies this node's link.
  void setTransferTime(Duration Time) { this->TransferTime = Time; }
  // Another node states that this failure domain is evacuated. If the watch
  // does not show that soon, the keys are read.
  void onEvacuationSeen(std::string_view Domain, Instant Now);
  const DomainNames &evacuatedDomains() const {
    return this->Evacuations.domains();
  }
  // To be called at least every 100 ms.
  ConfigActions tick(Instant Now);

  // Returns whether another node has a newer version in force.
  bool isBehind() const { return this->NewestVersion > this->VersionInForce; }
  // The newest version that another node announced, and the node that announced
  // it last.
  std::uint64_t newestVersion() const { return this->NewestVersion; }
  const std::string &newestVersionNode() const {
    return this->NewestVersionNode;
  }

private:
  // Restarts the grace period in which the watch may deliver the newer version,
  // and the count of attempts to catch up.
  void resetCatchUp(Instant Now);

  std::string Prefix;
  EvacuationFollower Evacuations;
  // Time of the read because of onEvacuationSeen(), and the time before which
  // there is no other one.
  std::optional<Instant> EvacuationReadAt;
  Instant NextEvacuationReadAt;
  // Until then, evacuations that the store no longer shows stay in force.
  Instant KeepEvacuationsUntil;
  // A read was sent and not answered.
  bool ReadInFlight = false;
  // A watch was opened and has not ended.
  bool WatchOpen = false;
  // Time of the next read; empty while a read or a watch is open.
  std::optional<Instant> NextReadAt;
  std::uint64_t VersionInForce = 0;
  std::uint64_t NewestVersion = 0;
  std::string NewestVersionNode;
  // While behind: the time of the next attempt to catch up and the number of
  // attempts made.
  Instant CatchUpAt;
  int CatchUpTries = 0;
  // The store failed to answer a read since the last attempt.
  bool ReadFailed = false;
  bool FetchedFromNode = false;
  Duration TransferTime{0};
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_CONFIG_FOLLOWER_H
