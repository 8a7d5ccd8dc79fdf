// Follows the operator's configuration in the store: reads it, watches from
// there, and reads again when the store has forgotten what came since.
//
//   ConfigFollower Config("op/config");
//   ConfigStep Next = Config.start();
//   Next = Config.replied(Reply, Now);       // of the read
//   Next = Config.watched(Update, Now);
//   Next = Config.tick(Now);
#ifndef ORIOLEDOOR_SIDECAR_CONFIG_FOLLOWER_H
#define ORIOLEDOOR_SIDECAR_CONFIG_FOLLOWER_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "orioledoor/store/store_types.h"

namespace orioledoor::sidecar {

// What the shell is to do.
struct ConfigStep {
  // Read this; the reply goes to replied().
  std::optional<StoreRange> Read{};
  // Watch the key after this revision.
  std::optional<std::int64_t> WatchAfter{};
  // Configurations to take over, oldest first.
  std::vector<StoreEntry> Taken{};
};

// Not thread-safe; no clock or socket.
class ConfigFollower {
public:
  explicit ConfigFollower(std::string Key) : Key(std::move(Key)) {}

  ConfigStep start();
  ConfigStep replied(const StoreReply &Reply, Instant Now);
  ConfigStep watched(const StoreWatchUpdate &Update, Instant Now);
  // Call at least every 100 ms.
  ConfigStep tick(Instant Now);

private:
  std::string Key;
  // When to read; empty while a read or a watch is open.
  std::optional<Instant> ReadAt;
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_CONFIG_FOLLOWER_H
