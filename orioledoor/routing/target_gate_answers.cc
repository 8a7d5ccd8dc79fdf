// Answers that wait for the link of this VM before they are sent to the entry
// nodes of their requests.
#include <utility>
#include <vector>

#include "orioledoor/routing/events.h"
#include "orioledoor/routing/internal/answer_margin.h"
#include "orioledoor/routing/internal/log_text.h"
#include "orioledoor/routing/target_gate.h"

namespace orioledoor::routing {
namespace {

using internal::AnswerMargin;
using internal::field;
using internal::millis;

} // namespace

std::uint64_t TargetGate::expectedAnswerBytes(const std::string &From,
                                              const Forward &Request) const {
  // An answer to this VM takes nothing of the link.
  return From == this->Options.Node ? 0
                                    : this->Sizes.meanOf(Request.RequestClass);
}

bool TargetGate::hasMemoryFor(std::uint64_t AnswerBytes) const {
  return this->Options.AnswerMemoryBytes == 0 ||
         AnswerBytes < LargeAnswerBytes ||
         // A single answer may be larger than the bound.
         this->Link.promisedBytes() == 0 ||
         this->Link.promisedBytes() + AnswerBytes <=
             this->Options.AnswerMemoryBytes;
}

void TargetGate::finishCall(std::uint64_t Id, ForwardResult Result, Instant Now,
                            Effects &Out) {
  ForwardedCall &Call = this->Calls.at(Id);
  if (Result.Code == Outcome::Answered && Call.From != this->Options.Node) {
    std::uint64_t Bytes = answerBytes(Result.Answer);
    // Errors are small and would hide the size of the other answers.
    if (Result.Answer.Status < 500)
      this->Sizes.note(Call.Request.RequestClass, Bytes);
    if (this->Link.push(Id, Call.Rank, Bytes, Now)) {
      Call.Finished = std::move(Result);
      this->sendAnswers(Now, Out);
      return;
    }
  }
  this->sendResult(Id, std::move(Result), Now, Out);
}

void TargetGate::sendAnswers(Instant Now, Effects &Out) {
  while (auto Id = this->Link.popNext(Now)) {
    ForwardResult Result = std::move(*this->Calls.at(*Id).Finished);
    this->sendResult(*Id, std::move(Result), Now, Out);
  }
}

void TargetGate::dropLateAnswers(Instant Now, Effects &Out) {
  if (this->Link.waiting() == 0)
    return;
  std::vector<std::uint64_t> Late;
  for (const auto &[Id, Call] : this->Calls)
    if (Call.Finished && Now >= Call.Deadline + AnswerMargin)
      Late.push_back(Id);
  for (std::uint64_t Id : Late) {
    const ForwardedCall &Call = this->Calls.at(Id);
    ++this->DroppedAnswers;
    Out.push_back(LogRecord{
        &events::AnswerDropped,
        {field("request", Call.Request.AttemptId), field("from", Call.From),
         field("bytes", std::to_string(answerBytes(Call.Finished->Answer))),
         field("after_ms", millis(Now - Call.ReceivedAt)),
         field("waiting", std::to_string(this->Link.waiting()))}});
    // The target has run the request.
    this->sendResult(Id,
                     {.Code = Outcome::Lost,
                      .Detail = "the answer waited too long for the link"},
                     Now, Out);
  }
}

void TargetGate::flushAnswers(Instant Now, Effects &Out) {
  this->Link.setPacing(AnswerPacing::None, Now);
  this->sendAnswers(Now, Out);
}

} // namespace orioledoor::routing
