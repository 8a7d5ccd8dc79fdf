// Detects requests that crash the targets that run them, and quarantines them
// on all nodes after the second crash.
//
//   Guard.noteBrokenCall(Digest, Now);         // the connection broke
//   for (CrashNotice N : Guard.noteTargetEnded(Now))
//     ...                                      // send to all nodes
//   Guard.noteAnswered(Digest, Now);           // not the cause of a crash
//   if (Guard.clear(Digest)) ...               // another target answered it
//   if (Guard.isQuarantined(Digest, Now)) ...  // refuse
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

// Equal for requests with the same caller and content, whatever their attempt
// ids.
std::uint64_t crashDigest(std::string_view Caller,
                          const RequestContent &Content);

// A request that was answered is not considered the cause of a crash, even if
// it was often open when a target ended: many callers may request the same
// path. Memory is bounded by the calls that broke within SuspicionTime, the
// digests that crashed a target within QuarantineTime, and MaxAnsweredDigests.
// Not thread-safe.
class CrashGuard {
public:
  // The connection of a call broke before the answer was complete.
  void noteBrokenCall(std::uint64_t Digest, Instant Now);
  // A target answered the request.
  void noteAnswered(std::uint64_t Digest, Instant Now);
  // The target ended. Calls that broke shortly before are suspected of having
  // caused it. Returns the crash counts to send to all nodes.
  std::vector<CrashNotice> noteTargetEnded(Instant Now);
  // Returns whether a target beside this node has answered the request lately.
  bool wasAnsweredRecently(std::uint64_t Digest) const;
  // A target beside another node has answered the request: forgets its crashes.
  // Later ones count again, and only a target beside this node makes it count
  // as answered here. Returns whether this guard reported a crash of it to
  // other nodes, which are to be told.
  bool clear(std::uint64_t Digest);
  // Merges a crash count received from another node.
  void merge(const CrashNotice &Notice, Instant Now);
  bool isQuarantined(std::uint64_t Digest, Instant Now) const;
  void tick(Instant Now);

private:
  struct Record {
    std::uint32_t Crashes = 0;
    Instant LastAt;
    // This guard observed the crash and reported it.
    bool Reported = false;
  };
  std::vector<std::pair<std::uint64_t, Instant>> BrokenCalls;

  std::unordered_map<std::uint64_t, Record> Records;
  // Digests answered since RotatedAt, and in the rotation interval before that.
  std::unordered_set<std::uint64_t> Answered;
  std::unordered_set<std::uint64_t> PreviouslyAnswered;
  Instant RotatedAt;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_CRASH_GUARD_H
