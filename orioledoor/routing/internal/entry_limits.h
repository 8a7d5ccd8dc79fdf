// Constants and texts that the entry's files share.
#ifndef ORIOLEDOOR_ROUTING_INTERNAL_ENTRY_LIMITS_H
#define ORIOLEDOOR_ROUTING_INTERNAL_ENTRY_LIMITS_H

#include "orioledoor/base/instant.h"

namespace orioledoor::routing::internal {

// A try with less time left cannot be answered: a message crosses regions and
// back in 16 ms, and the shortest work takes about as long.
inline constexpr Duration LeastTryTime = std::chrono::milliseconds(30);
// Nodes that may refuse a request before its caller is told to come back.
inline constexpr int MaxBounces = 3;
// When nothing is known of the load.
inline constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(250);

} // namespace orioledoor::routing::internal

#endif // ORIOLEDOOR_ROUTING_INTERNAL_ENTRY_LIMITS_H
