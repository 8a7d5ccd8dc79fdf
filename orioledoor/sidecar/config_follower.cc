// Read, watch, the pause between two reads, and catching up with other nodes.
#include "orioledoor/sidecar/config_follower.h"

#include <algorithm>
#include <utility>

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;

// Pause before the next read after one that failed or found nothing, and after
// history was lost. A change counts everywhere within 2 s; a store that keeps
// no history costs each node a read and a watch a pause.
constexpr Duration ReadPause = milliseconds(300);
// A node may hear of a version this long before its own watch brings it: a
// pause of the watch and an answer of a store that is slowed to 240 ms.
constexpr Duration CatchUpGrace = milliseconds(260);
// Between the first tries to catch up; doubled up to the longest, since a
// version that no node sends on costs a read a try.
constexpr Duration CatchUpPause = milliseconds(300);
constexpr Duration MaxCatchUpPause = milliseconds(4800);
// A document on its way to many nodes shares their links with requests, which
// use up to 80 in 100 of the slowest ones.
constexpr int LinkShareDivisor = 6;

} // namespace

ConfigActions ConfigFollower::start() {
  this->Reading = true;
  return {.Read = StoreRange{.Key = this->Key}};
}

ConfigActions ConfigFollower::onStoreReply(const StoreReply &Reply,
                                           Instant Now) {
  this->Reading = false;
  if (!Reply.Status.ok() && this->isBehind()) {
    this->ReadFailed = true;
    // The first time a node is asked at once.
    if (!this->FetchedFromNode)
      this->CatchUpAt = Now;
  }
  // Without an entry the operator has not configured anything yet.
  if (!Reply.Status.ok() || Reply.Entries.empty()) {
    if (!this->WatchOpen)
      this->ReadAt = Now + ReadPause;
    return {};
  }
  this->WatchOpen = true;
  const StoreEntry &Entry = Reply.Entries.front();
  // The revision of the last change may be older than the store's history; the
  // reply shows the entry as of its own revision.
  return {.WatchAfter = std::max(Reply.Revision, Entry.ModRevision),
          .Taken = Entry};
}

ConfigActions ConfigFollower::watched(const StoreWatchUpdate &Update,
                                      Instant Now) {
  ConfigActions Step;
  if (absl::IsOutOfRange(Update.Status)) {
    this->WatchOpen = false;
    this->ReadAt = Now + ReadPause;
  }
  // Each replaces the earlier ones, and reading them takes time.
  auto Newest = std::ranges::find_if(
      Update.Changes.rbegin(), Update.Changes.rend(),
      [this](const StoreChange &Change) {
        return !Change.Deleted && Change.Entry.Key == this->Key;
      });
  if (Newest != Update.Changes.rend())
    Step.Taken = Newest->Entry;
  return Step;
}

void ConfigFollower::onVersionSeen(const std::string &Node,
                                   std::uint64_t Version, Instant Now) {
  if (Version <= this->InForce || Version < this->Newest)
    return;
  if (!this->isBehind())
    this->resetCatchUp(Now);
  this->Newest = Version;
  // The node that spoke last is the one that can be reached.
  this->NewestVersionNode = Node;
}

void ConfigFollower::setVersionInForce(std::uint64_t Version, Instant Now) {
  this->InForce = Version;
  // Configurations that follow each other quickly arrive one by one.
  this->resetCatchUp(Now);
}

void ConfigFollower::resetCatchUp(Instant Now) {
  this->CatchUpTries = 0;
  this->ReadFailed = this->FetchedFromNode = false;
  this->CatchUpAt = Now + CatchUpGrace + this->TransferTime * LinkShareDivisor;
}

ConfigActions ConfigFollower::tick(Instant Now) {
  bool Due = this->ReadAt && Now >= *this->ReadAt;
  ConfigActions Step;
  if (this->isBehind() && Now >= this->CatchUpAt) {
    Due = true;
    // Nodes are asked only for what the store does not give: many nodes that
    // wait for a large document would load the links of the others.
    if (std::exchange(this->ReadFailed, false)) {
      this->FetchedFromNode = true;
      Step.FetchFromNode = this->NewestVersionNode;
    }
    this->CatchUpAt =
        Now + std::min(MaxCatchUpPause,
                       CatchUpPause * (1 << std::min(this->CatchUpTries, 4)));
    ++this->CatchUpTries;
  }
  if (!Due || this->Reading)
    return Step;
  this->ReadAt.reset();
  Step.Read = this->start().Read;
  return Step;
}

} // namespace orioledoor::sidecar
