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
  static constexpr Duration RetentionTime = std::chrono::minutes(10);

  // Counts the crash CrashId of Digest once. True if the digest became
  // quarantined by it.
  bool recordCrash(std::uint64_t Digest, std::uint64_t CrashId, Instant Now);

  // Whether a crash of Digest is counted. Constant.
  bool contains(std::uint64_t Digest) const {
    return this->Entries.contains(Digest);
  }

  // Notes that a connection broke while Digest ran. Without an earlier crash of
  // Digest this has no effect.
  void markSuspected(std::uint64_t Digest, Instant Now);

  enum class DigestState {
    Clear,
    // Counted once, and perhaps a second time: refused until the probes of the
    // target have shown it.
    Suspected,
    Quarantined,
  };

  // Constant.
  DigestState stateOf(std::uint64_t Digest, Instant Now) const;

  // Drops entries whose last crash is older than RetentionTime. Amortised
  // constant.
  void expire(Instant Now);

private:
  // The time that probes need to find a target lost (2 s) and that a notice
  // needs to reach all nodes.
  static constexpr Duration SuspicionTimeout = std::chrono::seconds(3);

  struct Entry {
    // Distinct crashes, at most QuarantineCount.
    std::vector<std::uint64_t> CrashIds;
    Instant LastCrashAt;
    Instant SuspectedUntil;
  };

  std::unordered_map<std::uint64_t, Entry> Entries;
  // Times of all counted crashes with their digests, in order.
  std::deque<std::pair<Instant, std::uint64_t>> CrashTimes;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_CRASH_TABLE_H
