// Margin of the drain time, shared by both ends of the request path.
#ifndef ORIOLEDOOR_ROUTING_INTERNAL_DRAIN_MARGIN_H
#define ORIOLEDOOR_ROUTING_INTERNAL_DRAIN_MARGIN_H

#include "orioledoor/base/instant.h"

namespace orioledoor::routing::internal {

// Ends the drain time early, to allow for differences between clocks and for
// requests that are still in flight to the target.
inline constexpr Duration DrainMargin = std::chrono::milliseconds(250);

} // namespace orioledoor::routing::internal

#endif // ORIOLEDOOR_ROUTING_INTERNAL_DRAIN_MARGIN_H
