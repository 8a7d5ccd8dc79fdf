// Moving averages of answer sizes by request class.
#include "orioledoor/routing/answer_sizes.h"

#include <algorithm>
#include <cmath>

namespace orioledoor::routing {
namespace {

// A service has two to four routes with traffic.
constexpr std::size_t MaxClasses = 16;
// Minimum weight of a new sample. Single answers are up to six times as large
// as the mean; the last 50 samples bound the error of the mean to about a
// sixth.
constexpr double MinSampleWeight = 0.02;

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

std::uint64_t AnswerSizes::meanOf(RequestClassId RequestClass) const {
  auto Found = std::ranges::find(this->Measured, RequestClass,
                                 &Measurement::RequestClass);
  return Found == this->Measured.end()
             ? 0
             : static_cast<std::uint64_t>(std::llround(Found->Mean));
}

} // namespace orioledoor::routing
