// Decides which keys the target beside this node may hold, and when keys that
// the target released pass to their next owner.
//
//   GrantDecision Decision =
//       Grantor.answerReport(Report, Self, Map, AuthorityEnd, Now);
//   for (const KeyTransfer &Transfer : Decision.Transfers)
//     ... // record it in the store
//   if (Grantor.holds(Key, Now)) ...
//
// A report may be older than the grants of an earlier process of this node, and
// this process can't tell: it has not seen a sequence number yet. A key that no
// report lists may therefore be held until all holds of that process have
// ended.
#ifndef ORIOLEDOOR_KEYSPACE_KEY_GRANTOR_H
#define ORIOLEDOOR_KEYSPACE_KEY_GRANTOR_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/keyspace/key_map.h"

namespace orioledoor::keyspace {

// Keys that their owner released and that can pass to the next owner.
struct KeyTransfer {
  KeyRange Keys{};
  std::string Handover{};
};

struct GrantDecision {
  routing::ReportAnswer Answer{};
  // Keys of rows with a next owner that the target no longer holds.
  std::vector<KeyTransfer> Transfers{};
  // Number of keys with a next owner that are not passed on because holds of an
  // earlier process of this node may not have ended.
  std::uint64_t RetainedKeys = 0;
};

struct KeyGrantorOptions {
  // Time after which a target stops using its keys, counted from the sending of
  // its last answered report.
  Duration HoldTime = std::chrono::seconds(5);
  // The longest hold time that the platform allows.
  Duration MaxHoldTime = std::chrono::seconds(10);
  // Bytes of the granted rows in an answer; the platform ignores answers of
  // more than 4 KiB. The rest is for the fields around the rows.
  std::size_t MaxRowBytes = 4000;
};

// Not thread-safe. Uses no clock, socket or random source.
class KeyGrantor {
public:
  explicit KeyGrantor(KeyGrantorOptions Options) : Options(Options) {}

  // Records that this process has started. To be called before any report is
  // answered.
  void noteStart(Instant Now);
  // Answers an up-to-date report of the target Self. Map is null if no key map
  // is recorded yet. No hold lasts beyond AuthorityEnd.
  GrantDecision answerReport(const routing::TargetReport &Report,
                             const TargetRef &Self, const KeyMap *Map,
                             Instant AuthorityEnd, Instant Now);
  // Forgets all grants of this process. To be called after the target
  // restarted, since a new process of the target holds no keys.
  void reset();

  // Returns whether the target holds Key according to the last answer that was
  // sent.
  bool holds(std::uint32_t Key, Instant Now) const;
  // Returns the time at which every hold has ended that this process or an
  // earlier one of this node has granted, even if the target's clock runs up to
  // 2% slow.
  Instant holdsEnd() const {
    return std::max(this->HoldsEnd, this->EarlierHoldsEnd);
  }
  // The same for the holds that an earlier process has granted.
  Instant earlierHoldsEnd() const { return this->EarlierHoldsEnd; }

private:
  // Returns how long a hold can last by this node's clock, even if the target's
  // clock runs up to 2% slow.
  Duration longestHold() const;
  // Leaves out grants that exceed Options.MaxRowBytes.
  void limitGrants(std::span<const routing::GrantedRange> PreviousGrants);

  KeyGrantorOptions Options;
  // Grants of the last answer.
  std::vector<routing::GrantedRange> Granted;
  Instant GrantedUntil;
  // Ends of the holds of this process and of earlier ones.
  Instant HoldsEnd;
  Instant EarlierHoldsEnd;
  // Handover tokens that the target reported for released keys whose transfer
  // is not recorded yet.
  std::vector<routing::ReleasedRange> Handovers;
};

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_KEY_GRANTOR_H
