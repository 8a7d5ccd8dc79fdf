// Limits the requests that an entry node sends for hot keys to the share that
// the node beside the target has stated.
//
//   Limit.setShare("balances", Key, Result.KeyShare, Now);
//   if (!Limit.allow("balances", Key, Now)) ... // refuse at once
#ifndef ORIOLEDOOR_ROUTING_HOT_KEY_LIMIT_H
#define ORIOLEDOOR_ROUTING_HOT_KEY_LIMIT_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// Not thread-safe. All operations are logarithmic in the number of hot keys.
class HotKeyLimit {
public:
  // Seed must differ between nodes: they then let requests pass at different
  // times. With one phase, all nodes would send none and then all at once.
  explicit HotKeyLimit(std::uint64_t Seed = 0) : Phase(Seed) {}

  // A stated share is followed for this long. An entry node of a large fleet
  // sees a hot key about twice a second.
  static constexpr Duration ShareLifetime = std::chrono::seconds(2);

  // A Share of 1 ends the limit of the key.
  void setShare(std::string_view Service, std::int32_t Key, float Share,
                Instant Now);
  // Returns whether a new request for Key may be sent. Requests pass evenly:
  // with a share of a quarter, each fourth one.
  bool allow(std::string_view Service, std::int32_t Key, Instant Now);
  // Returns for how many requests the one that allow() has just let pass
  // stands: itself and those that were refused since the last one.
  std::uint32_t takeDemand(std::string_view Service, std::int32_t Key);
  std::uint64_t refused() const { return this->Refused; }

private:
  struct Limited {
    float Share = 1;
    // The next request passes once this reaches 1.
    float Credit = 1;
    Instant StatedAt{};
    std::uint32_t RefusedSincePass = 0;
  };

  // Returns a credit between 0 and 1.
  float firstCredit();

  // Invariant: at most MaxKeys elements.
  std::map<std::pair<std::string, std::int32_t>, Limited, std::less<>> Keys;
  std::uint64_t Refused = 0;
  // Determines the credit that the next limited key starts with.
  std::uint64_t Phase;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_HOT_KEY_LIMIT_H
