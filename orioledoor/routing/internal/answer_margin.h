// Time that is reserved for the way of an answer back to its caller.
#ifndef ORIOLEDOOR_ROUTING_INTERNAL_ANSWER_MARGIN_H
#define ORIOLEDOOR_ROUTING_INTERNAL_ANSWER_MARGIN_H

#include "orioledoor/base/instant.h"

namespace orioledoor::routing::internal {

// Covers the way across two regions (8 ms) and to the caller.
inline constexpr Duration AnswerMargin = std::chrono::milliseconds(15);

} // namespace orioledoor::routing::internal

#endif // ORIOLEDOOR_ROUTING_INTERNAL_ANSWER_MARGIN_H
