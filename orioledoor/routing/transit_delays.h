// Estimates how late messages from other nodes arrive.
//
//   std::optional<Duration> Late = Delays.note(From, SentAt, Now);
//
// The clocks of two VMs have an unknown offset. The smallest difference between
// the time of arrival and the stated time of sending that was seen in the last
// minutes stands for that offset and the normal transit time; what a message
// takes beyond it is its delay.
#ifndef ORIOLEDOOR_ROUTING_TRANSIT_DELAYS_H
#define ORIOLEDOOR_ROUTING_TRANSIT_DELAYS_H

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// Not thread-safe. Logarithmic in the number of nodes.
class TransitDelays {
public:
  // Records a message that the node From sent at SentAt of its own clock and
  // that was read at Now. Returns its delay, or an empty value if there is no
  // other message of this node to compare it with.
  std::optional<Duration> note(std::string_view From, Instant SentAt,
                               Instant Now);
  // Forgets a node that is no longer a member.
  void remove(std::string_view Node);

private:
  // Differences between the receiver's and the sender's clock.
  struct Baseline {
    Instant WindowStart;
    // The smallest difference in this window and in the one before.
    Duration Current;
    Duration Previous;
  };

  std::map<std::string, Baseline, std::less<>> Baselines;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TRANSIT_DELAYS_H
