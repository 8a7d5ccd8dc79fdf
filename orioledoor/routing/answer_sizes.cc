// Exponential mean of the sizes of answers.
#include "orioledoor/routing/answer_sizes.h"

namespace orioledoor::routing {
namespace {

// Weight of a new answer. Sizes of one class differ by a factor of 6 (90 KB to
// 540 KB); over some 30 answers one of the largest changes the mean by less
// than a third.
constexpr double NewWeight = 1.0 / 16;
// Bounds the memory when routes are added and removed.
constexpr std::size_t MaxClasses = 1024;

} // namespace

void AnswerSizes::note(RequestClassId RequestClass, std::size_t Bytes) {
  auto Size = static_cast<double>(Bytes);
  if (this->Means.size() >= MaxClasses && !this->Means.contains(RequestClass))
    this->Means.clear();
  auto [Mean, Inserted] = this->Means.try_emplace(RequestClass, Size);
  Mean->second += (Size - Mean->second) * NewWeight;
}

std::uint64_t AnswerSizes::meanOf(RequestClassId RequestClass) const {
  auto Found = this->Means.find(RequestClass);
  return Found == this->Means.end() ? ExpectedAnswerBytes
                                    : static_cast<std::uint64_t>(Found->second);
}

} // namespace orioledoor::routing
