// Mean size of the answers to the requests of one class, measured by an entry
// node.
//
//   Sizes.note(RequestClass, Answer.Body.size());
//   std::uint64_t Expected = Sizes.meanOf(RequestClass);
#ifndef ORIOLEDOOR_ROUTING_ANSWER_SIZES_H
#define ORIOLEDOOR_ROUTING_ANSWER_SIZES_H

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "orioledoor/routing/class_service_times.h"

namespace orioledoor::routing {

// Size that is assumed until the first answer of a class.
inline constexpr std::uint64_t ExpectedAnswerBytes = 2048;

// Not thread-safe. All operations take constant time.
class AnswerSizes {
public:
  void note(RequestClassId RequestClass, std::size_t Bytes);
  // Exponential mean; ExpectedAnswerBytes if there is no answer of the class.
  std::uint64_t meanOf(RequestClassId RequestClass) const;

private:
  // Invariant: at most MaxClasses elements.
  std::unordered_map<RequestClassId, double> Means;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_ANSWER_SIZES_H
