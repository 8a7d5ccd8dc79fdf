// Which slices this node owns, and planned moves of them. See docs/design.md,
// sections 4.1 and 4.4.
//
//   SliceOwnership Slices(Node);
//   Slices.refresh(Now, Output);   // after the assignment or facts changed
//   std::optional<Fence> Number = Slices.owned(Slice);
#ifndef ORIOLEDOOR_OWNERSHIP_SLICE_OWNERSHIP_H
#define ORIOLEDOOR_OWNERSHIP_SLICE_OWNERSHIP_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/effect.h"
#include "orioledoor/ownership/event.h"
#include "orioledoor/ownership/routing_table.h"

namespace orioledoor::ownership {

struct NodeState;

// Not thread-safe. A tick is linear in the slices in motion. A yield takes
// constant time at both sides, an acknowledgement is linear in the slices.
class SliceOwnership {
public:
  explicit SliceOwnership(NodeState &Node);

  // Applies the rule of ownership anew. Linear in the number of slices.
  void refresh(Instant Now, Effects &Output);
  // Drops everything: this node is no longer a member.
  void reset(Effects &Output);

  void tick(Instant Now, Effects &Output);
  void handle(Instant Now, const SliceDrained &Drained, Effects &Output);
  void handle(Instant Now, const std::string &From, const Yield &Received,
              Effects &Output);
  void handle(Instant Now, const YieldAck &Received, Effects &Output);
  void handle(const std::string &From, const PromiseRequest &Received,
              Effects &Output);
  void handle(Instant Now, const std::string &From,
              const PromiseWithdrawn &Received, Effects &Output);

  // The number under which this node owns the slice. Constant time.
  std::optional<Fence> owned(SliceRef Slice) const;
  std::size_t ownedCount() const { return this->Owned.size(); }
  // No slice is owned here and no yield awaits its acknowledgement.
  bool isIdle() const;

  const RoutingTable &routes() const { return this->Routes; }

private:
  struct Entry {
    Fence Number;
    std::size_t Position = 0;
  };
  // A slice of this node that is being drained for its move target.
  struct Drain {

    MemberId Receiver;
    Instant Since;
  };
  // A slice that this node yielded. Kept until the record names a new owner.
  struct OutgoingYield {

    MemberId Receiver;
    // The recorded number at the yield; the receiver's is one higher.
    Fence Recorded;
    std::string Table;
    bool Acknowledged = false;
    Instant NextSend;
    // Pause until the next repeat; doubles.
    Duration ResendDelay{0};
  };
  // A slice that its owner yielded to this node. Kept until the record names
  // this node as owner.
  struct IncomingYield {
    MemberId From;
    Fence Number;
    Instant NextReport;
  };

  // A promise to the coordinator at an address.
  struct GrantedPromise {
    std::string To;
    std::uint64_t Attempt = 0;
    std::uint64_t Version = 0;
  };

  void adopt(const OwnedSlice &Slice, Effects &Output);
  // An assignment below a promised version is held.
  bool isBoundByPromise() const;
  void updateDrains(Instant Now, Effects &Output);
  void removeRecordedYields(Effects &Output);
  void sendYield(Instant Now, SliceRef Slice, OutgoingYield &Transfer,
                 Effects &Output);
  bool hasYielded(SliceRef Slice, const SliceOwner &Recorded) const;
  // The deposed members before this node in the lists of the slices that it
  // serves as a successor. Linear in the slices owned.
  std::vector<MemberId> membersActedFor() const;

  NodeState &Node;
  RoutingTable Routes;
  std::unordered_map<SliceRef, Entry> Owned;
  std::map<SliceRef, Drain> Drains;
  std::map<SliceRef, Instant> DrainRetryAt;
  std::map<SliceRef, OutgoingYield> OutgoingYields;
  std::map<SliceRef, IncomingYield> IncomingYields;
  // Tables of yields and cancelled moves, for the adoption that follows.
  std::map<SliceRef, std::string> PendingTables;
  // This node starts to act as a successor only under versions not below any
  // of these. Promises of versions that the assignment reached are dropped.
  std::vector<GrantedPromise> Promises;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_SLICE_OWNERSHIP_H
