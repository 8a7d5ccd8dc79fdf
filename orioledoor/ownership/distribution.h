// Keeps the newest assignment and catalogue: from the store where this node
// watches it, otherwise from peers. See docs/design.md, section 5.
//
//   Distribution Versions(Node);
//   Versions.setWatching(true);
//   Versions.tick(Now, Output);
//   while (auto News = Versions.takeUpdate()) apply(*News);
#ifndef ORIOLEDOOR_OWNERSHIP_DISTRIBUTION_H
#define ORIOLEDOOR_OWNERSHIP_DISTRIBUTION_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/effect.h"
#include "orioledoor/ownership/event.h"

namespace orioledoor {
struct Catalogue;
} // namespace orioledoor

namespace orioledoor::ownership {

struct Assignment;
struct NodeState;

// What arrived since the last look.
struct DistributionUpdate {
  // Newer than or as new as the one held; null if none arrived.
  std::shared_ptr<const Assignment> NewAssignment;
  // 0 if it came from a peer.
  std::int64_t ModRevision = 0;
  // Null if none arrived.
  std::shared_ptr<const Catalogue> NewCatalogue;
};

// Not thread-safe. A tick is constant time.
class Distribution {
public:
  explicit Distribution(NodeState &Node);

  // Whether this node watches the store.
  void setWatching(bool Enabled, Effects &Output);
  bool isWatching() const { return this->Phase == WatchPhase::Open; }

  // Reads the assignment and, if none is held, the catalogue from the store.
  void poll(Effects &Output);

  void tick(Instant Now, Effects &Output);
  // Asks From for what it holds newer.
  void requestNewer(Instant Now, const std::string &From,
                    const Versions &PeerVersions, Effects &Output);
  // Also tells From if it is behind and ahead in nothing, so that two nodes
  // never answer each other's notices without end.
  void compareVersions(Instant Now, const std::string &From,
                       const Versions &PeerVersions, Effects &Output);
  void handle(const std::string &From, const AssignmentRequest &Received,
              Effects &Output);
  void handle(const std::string &From, const CatalogueRequest &Received,
              Effects &Output);
  void handle(const AssignmentUpdate &Received, Effects &Output);
  void handle(const CatalogueUpdate &Received, Effects &Output);
  void handle(Instant Now, const StoreReply &Reply, Effects &Output);
  // Takes an assignment that the coordinator's own store calls returned.
  void acceptCoordinatorReply(const StoreReply &Reply, Effects &Output);
  void handle(Instant Now, const StoreWatched &Received, Effects &Output);

  // Tells random peers which versions this node holds.
  void announceVersions(Effects &Output);

  // The store answered that it holds no assignment.
  bool storeIsEmpty() const { return this->StoreEmpty; }

  // The news since the last call; empty if there is none.
  std::optional<DistributionUpdate> takeUpdate();

  // A store request id unique among those of this reducer.
  std::uint64_t nextRequestId() { return ++this->LastRequestId; }

private:
  enum class WatchPhase { Closed, Reading, Open };

  void readStore(Effects &Output);
  void acceptEntry(const StoreEntry &Entry, Effects &Output);
  void acceptAssignment(std::string_view Bytes, std::int64_t ModRevision,
                        Effects &Output);
  void acceptCatalogue(std::uint64_t Revision, const std::string &Text,
                       Effects &Output);
  void retryLater(Instant Now);

  NodeState &Node;
  DistributionUpdate PendingUpdate;
  // Encoded form of Node.Current, as received.
  std::string EncodedAssignment;
  std::string CatalogueText;
  // Revision of an unreadable catalogue, so that it is reported once.
  std::uint64_t RejectedCatalogueRevision = 0;

  WatchPhase Phase = WatchPhase::Closed;
  bool WatchEnabled = false;
  bool StoreEmpty = false;
  Instant NextRead;
  std::uint64_t LastRequestId = 0;
  // 0 if no such read is open.
  std::uint64_t AssignmentReadId = 0;
  std::uint64_t CatalogueReadId = 0;
  // The watch starts after the older of the two reads.
  std::int64_t ReadRevision = 0;

  Instant NextAssignmentRequest;
  Instant NextCatalogueRequest;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_DISTRIBUTION_H
