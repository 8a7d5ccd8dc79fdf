// Finds requests that end the targets that run them, and refuses them
// everywhere after the second time.
//
//   Guard.noteBroken(Digest, Now);              // a connection broke under it
//   for (CrashNotice N : Guard.noteTargetEnded(Now)) ... // tell all nodes
//   Guard.noteAnswered(Digest, Now);            // no culprit: it was answered
//   if (Guard.isQuarantined(Digest, Now)) ...   // refuse
#ifndef ORIOLEDOOR_ROUTING_CRASH_GUARD_H
#define ORIOLEDOOR_ROUTING_CRASH_GUARD_H

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/routing/message.h"

namespace orioledoor::routing {

// The same for a request that comes again under another attempt id.
std::uint64_t crashDigest(std::string_view Caller, const RequestContent &Of);

// A request that targets answer has not ended them, however often it was open
// when one ended; callers often share a path. Bounded by the calls that broke
// within EvidenceTime, the digests that crashed a target within QuarantineTime
// and MaxAnswered. Not thread-safe.
class CrashGuard {
public:
  // The connection of a call broke before its answer.
  void noteBroken(std::uint64_t Digest, Instant Now);
  // A target has answered the request.
  void noteAnswered(std::uint64_t Digest, Instant Now);
  // The target ended; calls that broke just before are suspects.
  std::vector<CrashNotice> noteTargetEnded(Instant Now);
  // Another node saw a crash.
  void merge(const CrashNotice &Notice, Instant Now);
  bool isQuarantined(std::uint64_t Digest, Instant Now) const;
  void tick(Instant Now);

private:
  struct Record {
    std::uint32_t Crashes = 0;
    Instant Last;
  };
  std::vector<std::pair<std::uint64_t, Instant>> Broken;
  bool answeredLately(std::uint64_t Digest) const;

  std::unordered_map<std::uint64_t, Record> Records;
  // Answered since TurnedAt, and in the turn before.
  std::unordered_set<std::uint64_t> Answered;
  std::unordered_set<std::uint64_t> AnsweredBefore;
  Instant TurnedAt;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_CRASH_GUARD_H
