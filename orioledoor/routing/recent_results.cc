// Results by request, reduced and evicted in order of age.
#include "orioledoor/routing/recent_results.h"

#include "orioledoor/routing/answer_sizes.h"

namespace orioledoor::routing {
namespace {

using std::chrono::seconds;

// Senders detect a broken connection within 4 s, also over a slow link, and
// then send ResumeForward over a new connection.
constexpr Duration AnswerRetention = seconds(4);
// Limits the memory for kept answers to 8 MB at 30 KB per answer.
constexpr std::size_t MaxAnswers = 256;
// Longer than CompleteTime by the time that a ResumeForward may be in flight.
constexpr Duration OutcomeRetention = seconds(12);
constexpr Duration CompleteTime = seconds(8);
// A result takes about 100 bytes. A target with 18 slots and 40 ms per request
// completes 5,400 requests within OutcomeRetention.
constexpr std::size_t MaxOutcomes = 8192;

} // namespace

void RecentResults::add(ForwardKey Key, const ForwardResult &Result,
                        Instant Now) {
  if (this->ByAge.size() >= MaxOutcomes) {
    this->dropAnswer(this->ByAge.front().second);
    this->Results.erase(this->ByAge.front().second);
    this->ByAge.pop_front();
    this->EvictedAt = Now;
    this->Evicted = true;
  }
  this->dropAnswer(Key);
  this->Results[Key] = Result;
  this->AnswerBytes += routing::answerBytes(Result.Answer);
  this->ByAge.emplace_back(Now, Key);
  this->WithAnswer.emplace_back(Now, Key);
  while (this->WithAnswer.size() > MaxAnswers ||
         (this->MaxAnswerBytes > 0 && !this->WithAnswer.empty() &&
          this->AnswerBytes > this->MaxAnswerBytes)) {
    this->dropAnswer(this->WithAnswer.front().second);
    this->WithAnswer.pop_front();
  }
}

void RecentResults::dropAnswer(ForwardKey Key) {
  auto Found = this->Results.find(Key);
  if (Found == this->Results.end())
    return;
  // Some results that were not run carry the answer that says so.
  this->AnswerBytes -= routing::answerBytes(Found->second.Answer);
  if (Found->second.Code != Outcome::Answered) {
    Found->second.Answer = {};
    return;
  }
  ForwardResult Reduced{.Id = Found->second.Id,
                        .Code = Outcome::Lost,
                        .Detail = "the answer is not kept any more"};
  Reduced.Status = Found->second.Status;
  Found->second = std::move(Reduced);
}

const ForwardResult *RecentResults::find(ForwardKey Key) const {
  auto Found = this->Results.find(Key);
  return Found == this->Results.end() ? nullptr : &Found->second;
}

bool RecentResults::isCompleteSince(Duration SentAgo, Instant Now) const {
  return SentAgo <= CompleteTime &&
         (!this->Evicted || Now - this->EvictedAt > OutcomeRetention);
}

void RecentResults::tick(Instant Now) {
  while (!this->WithAnswer.empty() &&
         Now - this->WithAnswer.front().first > AnswerRetention) {
    this->dropAnswer(this->WithAnswer.front().second);
    this->WithAnswer.pop_front();
  }
  while (!this->ByAge.empty() &&
         Now - this->ByAge.front().first > OutcomeRetention) {
    this->dropAnswer(this->ByAge.front().second);
    this->Results.erase(this->ByAge.front().second);
    this->ByAge.pop_front();
  }
}

} // namespace orioledoor::routing
