// Recognizes keys whose demand exceeds what their target can serve, on the node
// beside the target, and states which share of the requests for such a key the
// entry nodes should send.
//
//   Meter.note(Key, Demand, Refused, Now);
//   float Share = Meter.shareOf(Key, Now);   // 1 unless the key is hot
//
// Each request states for how many it stands, those included that its entry
// node has refused since. The share is what the target has admitted, and a
// quarter more, out of this demand. It does not depend on earlier shares, which
// entry nodes follow late.
#ifndef ORIOLEDOOR_ROUTING_HOT_KEY_METER_H
#define ORIOLEDOOR_ROUTING_HOT_KEY_METER_H

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// Not thread-safe. All operations take constant time, except that one of them
// in each interval is linear in the keys of that interval.
class HotKeyMeter {
public:
  // Two intervals fit into the second within which a hot key is to be
  // recognized.
  static constexpr Duration Interval = std::chrono::milliseconds(500);

  // Counts a request for Key, which stands for Demand requests, as admitted or
  // refused for lack of room.
  void note(std::int32_t Key, std::uint32_t Demand, bool Refused, Instant Now);
  // Returns the share of the requests for Key that can be admitted, 0 to 1.
  float shareOf(std::int32_t Key, Instant Now);
  // Number of keys with a share below 1.
  std::size_t hotKeys() const { return this->Shares.size(); }
  // Discards everything, for example when the target was replaced.
  void clear();

private:
  struct Count {
    double Demand = 0;
    double Admitted = 0;
    double Refused = 0;
  };

  // Updates the shares at the end of an interval.
  void advance(Instant Now);
  // Returns the share that follows from counts.
  static float shareFor(const Count &Counted);

  Instant IntervalStart;
  // Counts of the last intervals; those of older ones weigh less.
  // Invariant: at most MaxKeys elements.
  std::unordered_map<std::int32_t, Count> Counts;
  // Keys with a share below 1.
  std::unordered_map<std::int32_t, float> Shares;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_HOT_KEY_METER_H
