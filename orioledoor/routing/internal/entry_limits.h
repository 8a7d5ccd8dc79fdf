// Constants shared by the source files of EntryReducer.
#ifndef ORIOLEDOOR_ROUTING_INTERNAL_ENTRY_LIMITS_H
#define ORIOLEDOOR_ROUTING_INTERNAL_ENTRY_LIMITS_H

#include "orioledoor/base/instant.h"

namespace orioledoor::routing::internal {

// Minimum time left for another attempt. A message to another region and back
// takes 16 ms, and the shortest requests run for about as long.
inline constexpr Duration MinAttemptTime = std::chrono::milliseconds(30);
// Number of nodes that may refuse a request before its caller is answered 503.
inline constexpr int MaxRefusals = 3;
// Used if the target's node gave no estimate.
inline constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(250);

} // namespace orioledoor::routing::internal

#endif // ORIOLEDOOR_ROUTING_INTERNAL_ENTRY_LIMITS_H
