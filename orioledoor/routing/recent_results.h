// Recent results of forwarded requests, for senders whose connection broke
// before they received the result.
//
//   Results.add({Process, Id}, Result, Now);
//   if (const ForwardResult *Known = Results.find({Process, Id})) ...
//   else if (Results.isCompleteSince(SentAgo, Now)) ... // it never arrived
#ifndef ORIOLEDOOR_ROUTING_RECENT_RESULTS_H
#define ORIOLEDOOR_ROUTING_RECENT_RESULTS_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "orioledoor/base/instant.h"
#include "orioledoor/routing/message.h"

namespace orioledoor::routing {

// Identifies a request across all senders: process id and request id.
using ForwardKey = std::pair<std::uint64_t, std::uint64_t>;

// Answers are kept for a short time and in limited number. After that only the
// outcome is kept for a while, and an answered request is reported as Lost. Not
// thread-safe. Logarithmic in the number of results.
class RecentResults {
public:
  // MaxAnswerBytes bounds the size of all kept answers; 0 if there is no bound
  // but that on their number.
  explicit RecentResults(std::uint64_t MaxAnswerBytes = 0)
      : MaxAnswerBytes(MaxAnswerBytes) {}

  void add(ForwardKey Key, const ForwardResult &Result, Instant Now);
  // Returns null if the request is unknown.
  const ForwardResult *find(ForwardKey Key) const;
  // Returns whether every request that was sent at most this long ago is still
  // recorded. If so, a request that find() does not know never arrived here.
  bool isCompleteSince(Duration SentAgo, Instant Now) const;
  // Size of all kept answers.
  std::uint64_t answerBytes() const { return this->AnswerBytes; }
  // Removes expired results. Call at least once per second.
  void tick(Instant Now);

private:
  void dropAnswer(ForwardKey Key);

  std::uint64_t MaxAnswerBytes;
  // Invariant: the size of the answers in Results.
  std::uint64_t AnswerBytes = 0;
  std::map<ForwardKey, ForwardResult> Results;
  // Invariant: ordered by time; WithAnswer is a subset of ByAge, and ByAge
  // lists all of Results.
  std::deque<std::pair<Instant, ForwardKey>> WithAnswer;
  std::deque<std::pair<Instant, ForwardKey>> ByAge;
  // Time of the last result that was evicted before its retention time ended.
  Instant EvictedAt;
  bool Evicted = false;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_RECENT_RESULTS_H
