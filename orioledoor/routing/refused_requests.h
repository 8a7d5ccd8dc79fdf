// Requests that this node refused lately with a Retry-After, to recognize
// callers that repeat without waiting for it.
//
//   Refused.add(Hash, Until, Now);
//   if (const auto *Earlier = Refused.find(Hash, Now)) ... // repeated too
//   early
#ifndef ORIOLEDOOR_ROUTING_REFUSED_REQUESTS_H
#define ORIOLEDOOR_ROUTING_REFUSED_REQUESTS_H

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// Bounded; the oldest refusal is evicted first. Not thread-safe. Constant time.
class RefusedRequests {
public:
  struct Refusal {
    // End of the stated Retry-After.
    Instant Until;
    Instant RefusedAt;
  };

  void add(std::uint64_t Hash, Instant Until, Instant Now);
  // Returns null if there is no refusal whose Retry-After lasts.
  const Refusal *find(std::uint64_t Hash, Instant Now) const;

private:
  std::unordered_map<std::uint64_t, Refusal> Refusals;
  // Invariant: lists each key of Refusals at the time of its latest refusal;
  // other elements are outdated.
  std::deque<std::pair<Instant, std::uint64_t>> ByAge;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_REFUSED_REQUESTS_H
