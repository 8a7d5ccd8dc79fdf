// What became of forwarded requests lately, for senders whose connection broke
// before they got the result.
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

// Names a request among those of all senders: process and id.
using ForwardKey = std::pair<std::uint64_t, std::uint64_t>;

// Whole results are kept for a short time and in a bounded number; after that
// only that the request came is known, and its result reads Lost. Not
// thread-safe; logarithmic in the kept results.
class RecentResults {
public:
  void add(ForwardKey Key, const ForwardResult &Result, Instant Now);
  // Null if nothing is known.
  const ForwardResult *find(ForwardKey Key) const;
  // Whether a request that was sent this long ago and is not found here never
  // came, rather than being forgotten.
  bool vouches(Duration SentAgo, Instant Now) const;
  // Call at least once a second.
  void tick(Instant Now);

private:
  void shorten(ForwardKey Key);

  std::map<ForwardKey, ForwardResult> Results;
  // Invariant: by time; Whole is a subset of Known, which has all of Results.
  std::deque<std::pair<Instant, ForwardKey>> Whole;
  std::deque<std::pair<Instant, ForwardKey>> Known;
  // When something was last forgotten before its time.
  Instant ForgotAt;
  bool Forgot = false;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_RECENT_RESULTS_H
