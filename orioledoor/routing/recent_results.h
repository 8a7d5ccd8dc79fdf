// Recent results of forwarded requests, for senders whose connection broke
// before they received the result.
//
//   Results.add({Process, Id}, Result, Now);
//   if (const ForwardResult *Kept = Results.find({Process, Id})) ...
//   else if (Results.vouches(SentAgo, Now)) ... // it never came
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
  void add(ForwardKey Key, const ForwardResult &Result, Instant Now);
  // Returns null if the request is unknown.
  const ForwardResult *find(ForwardKey Key) const;
  // Returns whether every request that was sent at most this long ago is still
  // recorded. If so, a request that find() does not know never arrived here.
  bool vouches(Duration SentAgo, Instant Now) const;
  // Removes expired results. Call at least once per second.
  void tick(Instant Now);

private:
  void shorten(ForwardKey Key);

  std::map<ForwardKey, ForwardResult> Results;
  // Invariant: ordered by time; Whole is a subset of Known, and Known lists all
  // of Results.
  std::deque<std::pair<Instant, ForwardKey>> Whole;
  std::deque<std::pair<Instant, ForwardKey>> Known;
  // Time of the last result that was evicted before its retention time ended.
  Instant ForgotAt;
  bool Forgot = false;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_RECENT_RESULTS_H
