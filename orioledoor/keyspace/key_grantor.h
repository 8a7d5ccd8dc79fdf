// Decides what the target beside this node may hold, and when keys that it
// gave up go to their next owner.
//
//   GrantDecision Answer = Grantor.answerReport(Report, Self, Map, Until, Now);
//   for (const KeyTransfer &Each : Answer.Transfers) ... // record in the store
//   if (Grantor.holds(Key, Now)) ...
#ifndef ORIOLEDOOR_KEYSPACE_KEY_GRANTOR_H
#define ORIOLEDOOR_KEYSPACE_KEY_GRANTOR_H

#include <cstdint>
#include <string>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/keyspace/key_map.h"

namespace orioledoor::keyspace {

// The owner gave these keys up; Next may have them.
struct KeyTransfer {
  KeyRange Keys{};
  std::string Handover{};
};

struct GrantDecision {
  routing::ReportAnswer Answer{};
  // Keys of rows with a next owner that the target no longer holds.
  std::vector<KeyTransfer> Transfers{};
};

struct KeyGrantorOptions {
  // A target drops its keys this long after it sent its last answered report.
  Duration HoldTime = std::chrono::seconds(5);
  // The longest hold that the platform allows.
  Duration MaxHoldTime = std::chrono::seconds(10);
};

// Not thread-safe; no clock, socket or random source.
class KeyGrantor {
public:
  explicit KeyGrantor(KeyGrantorOptions Options) : Options(Options) {}

  // Answers a current report of the target Self. Map may be null: nothing is
  // recorded yet. AuthorityEnd bounds every hold.
  GrantDecision answerReport(const routing::TargetReport &Report,
                             const TargetRef &Self, const KeyMap *Map,
                             Instant AuthorityEnd, Instant Now);
  // A new life of the target holds nothing.
  void reset();

  // Whether the target holds Key as far as its last answer says.
  bool holds(std::uint32_t Key, Instant Now) const;
  // When every hold that was granted has certainly ended, by any clock that
  // runs up to 2% slow.
  Instant holdsEnd() const { return this->HoldsEnd; }

private:
  KeyGrantorOptions Options;
  // Of the last answer.
  std::vector<routing::GrantedRange> Granted;
  Instant GrantedUntil;
  Instant HoldsEnd;
  // Handovers that the target reported for keys it gave up, until transferred.
  std::vector<routing::ReleasedRange> Handovers;
};

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_KEY_GRANTOR_H
