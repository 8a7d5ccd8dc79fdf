// Follows the operator's configuration: reads it from the store, watches from
// there, and reads again when the store has forgotten what came since. A watch
// alone may fail without a sign, so other nodes tell which version they have in
// force, and a node that stays behind asks the store, then one of them.
//
//   ConfigFollower Config("op/config");
//   ConfigStep Next = Config.start();
//   Next = Config.replied(Reply, Now);       // of the read
//   Next = Config.watched(Update, Now);
//   Config.heard("tcp://10.1.0.9:7620", 12, Now);
//   Next = Config.tick(Now);
//   Config.inForce(12, Now);
#ifndef ORIOLEDOOR_SIDECAR_CONFIG_FOLLOWER_H
#define ORIOLEDOOR_SIDECAR_CONFIG_FOLLOWER_H

#include <cstdint>
#include <optional>
#include <string>

#include "orioledoor/store/store_types.h"

namespace orioledoor::sidecar {

// What is to be done next.
struct ConfigActions {
  // Read this; the reply goes to replied().
  std::optional<StoreRange> Read{};
  // Watch the key after this revision.
  std::optional<std::int64_t> WatchAfter{};
  // A configuration to take over.
  std::optional<StoreEntry> Taken{};
  // Ask this node for its configuration.
  std::optional<std::string> FetchFromNode{};
};

// Not thread-safe; no clock or socket.
class ConfigFollower {
public:
  explicit ConfigFollower(std::string Key) : Key(std::move(Key)) {}

  ConfigActions start();
  ConfigActions onStoreReply(const StoreReply &Reply, Instant Now);
  ConfigActions watched(const StoreWatchUpdate &Update, Instant Now);
  // Node has this version in force.
  void onVersionSeen(const std::string &Node, std::uint64_t Version,
                     Instant Now);
  // This node has this version in force now.
  void setVersionInForce(std::uint64_t Version, Instant Now);
  // How long a configuration holds this node's link alone.
  void setTransferTime(Duration Time) { this->TransferTime = Time; }
  // Call at least every 100 ms.
  ConfigActions tick(Instant Now);

  // Another node has a newer version in force.
  bool isBehind() const { return this->Newest > this->InForce; }
  // The newest version that this node heard of, and from whom.
  std::uint64_t newestVersion() const { return this->Newest; }
  const std::string &newestVersionNode() const {
    return this->NewestVersionNode;
  }

private:
  // While behind, the watch has until then to bring the newer version.
  void resetCatchUp(Instant Now);

  std::string Key;
  // A read is open.
  bool Reading = false;
  // A watch was opened and has not ended.
  bool WatchOpen = false;
  // When to read; empty while a read or a watch is open.
  std::optional<Instant> ReadAt;
  std::uint64_t InForce = 0;
  std::uint64_t Newest = 0;
  std::string NewestVersionNode;
  // While behind: when the next try to catch up is made, and how many were.
  Instant CatchUpAt;
  int CatchUpTries = 0;
  // The store gave no answer to a read since then.
  bool ReadFailed = false;
  bool FetchedFromNode = false;
  Duration TransferTime{0};
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_CONFIG_FOLLOWER_H
