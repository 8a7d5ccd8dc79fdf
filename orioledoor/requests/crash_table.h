// Counts, by digest, the requests that were running when a target was lost.
//
// A digest that was running at the loss of two targets is quarantined: it is
// refused for ten minutes, also under a new operation identifier.
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

  // Counts the crash CrashId of Digest, each CrashId once. Returns true if this
  // crash put the digest into quarantine.
  bool recordCrash(std::uint64_t Digest, std::uint64_t CrashId, Instant Now);

  // Returns whether a crash of Digest is recorded. Constant.
  bool contains(std::uint64_t Digest) const {
    return this->Entries.contains(Digest);
  }

  // Marks Digest as suspected because a connection broke while it ran. Has no
  // effect unless a crash of Digest is already recorded.
  void markSuspected(std::uint64_t Digest, Instant Now);

  enum class DigestState {
    Clear,
    // One crash is recorded and a second is possible: refused until the probes
    // of the target have decided it.
    Suspected,
    Quarantined,
  };

  // Constant.
  DigestState stateOf(std::uint64_t Digest, Instant Now) const;

  // Removes entries whose last crash is older than RetentionTime. Amortized
  // constant.
  void expire(Instant Now);

private:
  // Covers the 2 s that probes need to detect the loss of a target, and the
  // delivery of the crash notice to all nodes.
  static constexpr Duration SuspicionTimeout = std::chrono::seconds(3);

  struct Entry {
    // Distinct crashes, at most QuarantineCount.
    std::vector<std::uint64_t> CrashIds;
    Instant LastCrashAt;
    Instant SuspectedUntil;
  };

  std::unordered_map<std::uint64_t, Entry> Entries;
  // Time and digest of each recorded crash, in order.
  std::deque<std::pair<Instant, std::uint64_t>> CrashTimes;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_CRASH_TABLE_H
