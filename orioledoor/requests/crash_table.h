// Digests of requests that were running when a target was lost.
//
// A digest that was lost with two targets is quarantined: it is refused for
// ten minutes, also under a new operation identifier.
#ifndef ORIOLEDOOR_REQUESTS_CRASH_TABLE_H
#define ORIOLEDOOR_REQUESTS_CRASH_TABLE_H

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::requests {

// Not thread-safe.
class CrashTable {
public:
  static constexpr std::size_t QuarantineCount = 2;
  static constexpr Duration KeptFor = std::chrono::minutes(10);

  // Counts the crash CrashId of Digest once. True if the digest became
  // quarantined by it.
  bool count(std::uint64_t Digest, std::uint64_t CrashId, Instant Now);

  // Constant.
  bool isQuarantined(std::uint64_t Digest, Instant Now) const;

  // Drops entries whose last crash is older than KeptFor. Amortised constant.
  void expire(Instant Now);

private:
  struct Entry {
    // Distinct crashes, at most QuarantineCount.
    std::vector<std::uint64_t> CrashIds;
    Instant LastAt;
  };

  std::unordered_map<std::uint64_t, Entry> Entries;
  // Times of all counted crashes with their digests, in order.
  std::deque<std::pair<Instant, std::uint64_t>> Order;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_CRASH_TABLE_H
