// Read, watch, and the pause between two reads.
#include "orioledoor/sidecar/config_follower.h"

#include <algorithm>

namespace orioledoor::sidecar {
namespace {

// Pause before the next read after one that failed or found nothing, and after
// history was lost. A change counts everywhere within 2 s; a store that keeps
// no history costs each node a read and a watch a pause.
constexpr Duration ReadPause = std::chrono::milliseconds(300);

} // namespace

ConfigStep ConfigFollower::start() {
  return {.Read = StoreRange{.Key = this->Key}};
}

ConfigStep ConfigFollower::replied(const StoreReply &Reply, Instant Now) {
  // Without an entry the operator has not configured anything yet.
  if (!Reply.Status.ok() || Reply.Entries.empty()) {
    this->ReadAt = Now + ReadPause;
    return {};
  }
  const StoreEntry &Entry = Reply.Entries.front();
  // The revision of the last change may be older than the store's history; the
  // reply shows the entry as of its own revision.
  return {.WatchAfter = std::max(Reply.Revision, Entry.ModRevision),
          .Taken = {Entry}};
}

ConfigStep ConfigFollower::watched(const StoreWatchUpdate &Update,
                                   Instant Now) {
  ConfigStep Step;
  if (absl::IsOutOfRange(Update.Status))
    this->ReadAt = Now + ReadPause;
  for (const StoreChange &Change : Update.Changes)
    if (!Change.Deleted && Change.Entry.Key == this->Key)
      Step.Taken.push_back(Change.Entry);
  return Step;
}

ConfigStep ConfigFollower::tick(Instant Now) {
  if (!this->ReadAt || Now < *this->ReadAt)
    return {};
  this->ReadAt.reset();
  return this->start();
}

} // namespace orioledoor::sidecar
