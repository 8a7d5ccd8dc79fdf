// Reads and watches the configuration, with a pause between reads, and catches
// up with other nodes.
#include "orioledoor/sidecar/config_follower.h"

#include <algorithm>
#include <utility>

#include "orioledoor/platform/operator_keys.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;

// Pause before the next read after a failed or empty one, and after the store
// discarded its history. A change must be in force on all nodes within 2 s.
// With a store that keeps no history, each pause costs each node a read and a
// watch.
constexpr Duration ReadPause = milliseconds(300);
// A node may learn of a version from others this long before its own watch
// delivers it: one pause of the watch plus the answer of a store that is slowed
// down to 240 ms.
constexpr Duration CatchUpGrace = milliseconds(260);
// Pause between the first attempts to catch up. It doubles up to the maximum,
// since each attempt for a version that no node sends costs a read.
constexpr Duration CatchUpPause = milliseconds(300);
constexpr Duration MaxCatchUpPause = milliseconds(4800);
// A document that is being sent to many nodes shares their links with requests,
// which use up to 80% of the slowest links. The time to wait for it is its
// transfer time on a free link times this factor.
constexpr int SharedLinkFactor = 6;
// Interval between reads because other nodes state an evacuation that the store
// does not show. A node that is cut off from the store may state it for long
// after its end.
constexpr Duration EvacuationReadPause = milliseconds(5000);

bool isConfiguration(const StoreEntry &Entry) {
  return platform::decodeOperatorKey(Entry.Key).Kind ==
         platform::OperatorKeyKind::Configuration;
}
// Time for which an evacuation stays in force that vanished when the store came
// back from an older copy: the operator writes it again if it is still wanted.
constexpr Duration EvacuationHold = std::chrono::seconds(5);

} // namespace

ConfigActions ConfigFollower::start() {
  this->ReadInFlight = true;
  return {.Read = StoreRange{.Key = this->Prefix, .Prefix = true}};
}

ConfigActions ConfigFollower::onStoreReply(const StoreReply &Reply,
                                           Instant Now) {
  this->ReadInFlight = false;
  if (!Reply.Status.ok() && this->isBehind()) {
    this->ReadFailed = true;
    // The first failure leads to an immediate request to another node.
    if (!this->FetchedFromNode)
      this->CatchUpAt = Now;
  }
  ConfigActions Actions;
  bool KeepVanished = Now < this->KeepEvacuationsUntil;
  Actions.Evacuations = this->Evacuations.applyRead(Reply, KeepVanished);
  if (KeepVanished)
    this->EvacuationReadAt = this->KeepEvacuationsUntil;
  Actions.InvalidKeys = this->Evacuations.takeInvalidKeys();
  // Without an entry, the operator has not configured anything yet. The watch
  // reports the first configuration.
  if (Reply.Status.ok() && Reply.Entries.empty() && Reply.Revision != 0 &&
      !this->WatchOpen) {
    this->WatchOpen = true;
    Actions.WatchAfter = Reply.Revision;
    return Actions;
  }
  if (!Reply.Status.ok() || Reply.Entries.empty()) {
    if (!this->WatchOpen)
      this->NextReadAt = Now + ReadPause;
    return Actions;
  }
  this->WatchOpen = true;
  // Watches from the revision of the reply, which the entries reflect. The
  // revision of the last change may be older than the history that the store
  // keeps.
  Actions.WatchAfter = Reply.Revision;
  for (const StoreEntry &Entry : Reply.Entries)
    Actions.WatchAfter = std::max(*Actions.WatchAfter, Entry.ModRevision);
  if (auto Config = std::ranges::find_if(Reply.Entries, isConfiguration);
      Config != Reply.Entries.end())
    Actions.NewConfig = *Config;
  return Actions;
}

ConfigActions ConfigFollower::onWatchUpdate(const StoreWatchUpdate &Update,
                                            Instant Now) {
  ConfigActions Actions;
  if (absl::IsOutOfRange(Update.Status)) {
    this->WatchOpen = false;
    this->NextReadAt = Now + ReadPause;
  }
  // Only the latest change matters: each one replaces the earlier ones, and
  // decoding takes time.
  auto LatestChange = std::ranges::find_if(
      Update.Changes.rbegin(), Update.Changes.rend(),
      [](const StoreChange &Change) {
        return !Change.Deleted && isConfiguration(Change.Entry);
      });
  if (LatestChange != Update.Changes.rend())
    Actions.NewConfig = LatestChange->Entry;
  Actions.Evacuations = this->Evacuations.applyWatch(Update);
  Actions.InvalidKeys = this->Evacuations.takeInvalidKeys();
  return Actions;
}

void ConfigFollower::onEvacuationSeen(std::string_view Domain, Instant Now) {
  if (this->evacuatedDomains().contains(Domain) ||
      Now < this->NextEvacuationReadAt)
    return;
  this->EvacuationReadAt = Now + CatchUpGrace;
  this->NextEvacuationReadAt = Now + EvacuationReadPause;
}

void ConfigFollower::onStoreRolledBack(Instant ReadAt) {
  this->WatchOpen = false;
  this->NextReadAt = ReadAt;
  this->KeepEvacuationsUntil = ReadAt + EvacuationHold;
}

void ConfigFollower::onVersionSeen(const std::string &Node,
                                   std::uint64_t Version, Instant Now) {
  if (Version <= this->VersionInForce || Version < this->NewestVersion)
    return;
  if (!this->isBehind())
    this->resetCatchUp(Now);
  this->NewestVersion = Version;
  // The node that announced the version last is the most likely to be
  // reachable.
  this->NewestVersionNode = Node;
}

void ConfigFollower::setVersionInForce(std::uint64_t Version, Instant Now) {
  this->VersionInForce = Version;
  // The grace period restarts, since configurations that follow each other
  // quickly arrive one by one.
  this->resetCatchUp(Now);
}

void ConfigFollower::resetCatchUp(Instant Now) {
  this->CatchUpTries = 0;
  this->ReadFailed = this->FetchedFromNode = false;
  this->CatchUpAt = Now + CatchUpGrace + this->TransferTime * SharedLinkFactor;
}

ConfigActions ConfigFollower::tick(Instant Now) {
  bool ReadDue = (this->NextReadAt && Now >= *this->NextReadAt) ||
                 (this->EvacuationReadAt && Now >= *this->EvacuationReadAt);
  ConfigActions Actions;
  if (this->isBehind() && Now >= this->CatchUpAt) {
    ReadDue = true;
    // Other nodes are asked only if the store did not answer: many nodes that
    // request a large document would load the links of the others.
    if (std::exchange(this->ReadFailed, false)) {
      this->FetchedFromNode = true;
      Actions.FetchFromNode = this->NewestVersionNode;
    }
    this->CatchUpAt =
        Now + std::min(MaxCatchUpPause,
                       CatchUpPause * (1 << std::min(this->CatchUpTries, 4)));
    ++this->CatchUpTries;
  }
  if (!ReadDue || this->ReadInFlight)
    return Actions;
  this->NextReadAt.reset();
  this->EvacuationReadAt.reset();
  Actions.Read = this->start().Read;
  return Actions;
}

} // namespace orioledoor::sidecar
