// Obtains the newest assignment and catalogue: from the store on nodes that
// watch it, otherwise from peers. See docs/design.md, section 5.
//
//   Distribution Versions(Node);
//   Versions.setWatching(true, Output);
//   Versions.tick(Now, Output);
//   while (auto Update = Versions.takeUpdate())
//     apply(*Update);
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

// The versions that arrived since the previous call of takeUpdate.
struct DistributionUpdate {
  // Not older than the assignment held; null if none arrived.
  std::shared_ptr<const Assignment> NewAssignment;
  // Store revision of the assignment's last change; 0 if it came from a peer.
  std::int64_t ModRevision = 0;
  // Null if none arrived.
  std::shared_ptr<const Catalogue> NewCatalogue;
};

// Not thread-safe. A tick takes constant time.
class Distribution {
public:
  explicit Distribution(NodeState &Node);

  // Starts or stops watching the store.
  void setWatching(bool Enabled, Effects &Output);
  bool isWatching() const { return this->Phase == WatchPhase::Open; }

  // Reads the assignment and the catalogue from the store.
  void poll(Effects &Output);

  void tick(Instant Now, Effects &Output);
  // Requests from the peer From each version that is newer than this node's.
  void requestNewer(Instant Now, const std::string &From,
                    const Versions &PeerVersions, Effects &Output);
  // Like requestNewer; also notifies From if it holds an older version and no
  // newer one. This condition prevents two nodes from replying to each other's
  // notices endlessly.
  void compareVersions(Instant Now, const std::string &From,
                       const Versions &PeerVersions, Effects &Output);
  void handle(const std::string &From, const AssignmentRequest &Received,
              Effects &Output);
  void handle(const std::string &From, const CatalogueRequest &Received,
              Effects &Output);
  void handle(const AssignmentUpdate &Received, Effects &Output);
  void handle(const CatalogueUpdate &Received, Effects &Output);
  void handle(Instant Now, const StoreReply &Reply, Effects &Output);
  // Accepts an assignment from a reply to a store request of this node's
  // coordinator.
  void acceptCoordinatorReply(const StoreReply &Reply, Effects &Output);
  void handle(Instant Now, const StoreWatched &Received, Effects &Output);

  // Notifies random peers of the versions that this node holds.
  void announceVersions(Effects &Output);

  // Whether the store replied that it contains no assignment.
  bool storeIsEmpty() const { return this->StoreEmpty; }

  // Returns the versions that arrived since the previous call, or nullopt.
  std::optional<DistributionUpdate> takeUpdate();

  // Returns a store request id that is unique within this reducer.
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
  // The encoded form of Node.Current, as received.
  std::string EncodedAssignment;
  std::string CatalogueText;
  // Revision of the last invalid catalogue, so that it is logged only once.
  std::uint64_t RejectedCatalogueRevision = 0;

  WatchPhase Phase = WatchPhase::Closed;
  bool WatchEnabled = false;
  bool StoreEmpty = false;
  Instant NextRead;
  std::uint64_t LastRequestId = 0;
  // Ids of the pending reads; 0 if there is none.
  std::uint64_t AssignmentReadId = 0;
  std::uint64_t CatalogueReadId = 0;
  // Store revision of the older of the two reads. The watch starts after it.
  std::int64_t ReadRevision = 0;

  Instant NextAssignmentRequest;
  Instant NextCatalogueRequest;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_DISTRIBUTION_H
