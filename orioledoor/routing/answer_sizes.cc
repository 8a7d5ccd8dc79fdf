// Moving averages of answer sizes by request class.
#include "orioledoor/routing/answer_sizes.h"

#include <algorithm>
#include <cmath>

namespace orioledoor::routing {
namespace {

// Enough for the routes with traffic of a configuration; a service has two to
// four of them.
constexpr std::size_t MaxClasses = 64;
// Minimum weight of a new sample. Sizes of one class differ by a factor of 6
// (90 KB to 540 KB); over some 30 answers one of the largest changes the mean
// by less than a third.
constexpr double MinSampleWeight = 1.0 / 16;

} // namespace

std::uint64_t answerBytes(const requests::HttpAnswer &Answer) {
  std::uint64_t Bytes = Answer.Body.size();
  for (const requests::Header &Field : Answer.Headers)
    Bytes += Field.Name.size() + Field.Value.size();
  return Bytes;
}

void AnswerSizes::note(RequestClassId RequestClass, std::uint64_t Bytes) {
  auto Found = std::ranges::find(this->Measured, RequestClass,
                                 &Measurement::RequestClass);
  if (Found == this->Measured.end()) {
    if (this->Measured.size() >= MaxClasses)
      this->Measured.erase(this->Measured.begin());
    this->Measured.push_back({.RequestClass = RequestClass});
  } else {
    std::rotate(Found, Found + 1, this->Measured.end());
  }
  Measurement &Entry = this->Measured.back();
  ++Entry.Samples;
  Entry.Mean += std::max(MinSampleWeight, 1.0 / Entry.Samples) *
                (static_cast<double>(Bytes) - Entry.Mean);
}

std::uint64_t AnswerSizes::meanOf(RequestClassId RequestClass,
                                  std::uint64_t Unmeasured) const {
  auto Found = std::ranges::find(this->Measured, RequestClass,
                                 &Measurement::RequestClass);
  return Found == this->Measured.end()
             ? Unmeasured
             : static_cast<std::uint64_t>(std::llround(Found->Mean));
}

} // namespace orioledoor::routing
