// Mean size of answers by request class. It estimates what the answer of a
// request will take of a link before the request runs.
//
//   Sizes.note(Class, answerBytes(Answer));
//   std::uint64_t Expected = Sizes.meanOf(Class);
#ifndef ORIOLEDOOR_ROUTING_ANSWER_SIZES_H
#define ORIOLEDOOR_ROUTING_ANSWER_SIZES_H

#include <cstdint>
#include <vector>

#include "orioledoor/requests/http_types.h"
#include "orioledoor/routing/class_service_times.h"

namespace orioledoor::routing {

// Size that an entry node assumes until the first answer of a class.
inline constexpr std::uint64_t ExpectedAnswerBytes = 2048;

// Bytes that an answer takes in a message, without the message's own fields.
std::uint64_t answerBytes(const requests::HttpAnswer &Answer);

// Sizes do not depend on the state of the target, so measurements do not
// expire. Not thread-safe. Linear in the number of request classes, which is
// bounded.
class AnswerSizes {
public:
  void note(RequestClassId RequestClass, std::uint64_t Bytes);
  // Returns Unmeasured if no answer of this class was measured.
  std::uint64_t meanOf(RequestClassId RequestClass,
                       std::uint64_t Unmeasured = 0) const;

private:
  struct Measurement {
    RequestClassId RequestClass = 0;
    double Mean = 0;
    std::uint32_t Samples = 0;
  };

  // Invariant: distinct request classes, the least recently noted one first.
  std::vector<Measurement> Measured;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_ANSWER_SIZES_H
