// Tracks which slices this node owns and executes planned moves. See
// docs/design.md, sections 4.1 and 4.4.
//
//   SliceOwnership Slices(Node);
//   Slices.refresh(Now, Output); // after the assignment or facts changed
//   std::optional<Fence> FencingNumber = Slices.owned(Slice);
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

// Not thread-safe. A tick is linear in the number of slices being moved. A
// yield takes constant time at both members; an acknowledgement is linear in
// the number of slices.
class SliceOwnership {
public:
  explicit SliceOwnership(NodeState &Node);

  // Recomputes the owned slices from the assignment and the facts. Linear in
  // the number of slices.
  void refresh(Instant Now, Effects &Output);
  // Drops all slices and moves: this node is no longer a member.
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

  // The fencing number under which this node owns the slice, or nullopt if it
  // does not own it. Constant time.
  std::optional<Fence> owned(SliceRef Slice) const;
  std::size_t ownedCount() const { return this->Owned.size(); }
  // Whether this node owns no slice and no yield awaits its acknowledgement.
  bool isIdle() const;

  const RoutingTable &routes() const { return this->Routes; }

private:
  struct Entry {
    Fence FencingNumber;
    std::size_t Position = 0;
  };
  // A slice of this node that is being drained before a planned move.
  struct Drain {
    MemberId Receiver;
    Instant Since;
  };
  // A slice that this node yielded. Kept until the assignment names a new
  // owner.
  struct OutgoingYield {
    MemberId Receiver;
    // The recorded fencing number at the time of the yield; the receiver's
    // number is one higher.
    Fence Recorded;
    std::string Table;
    bool Acknowledged = false;
    Instant NextSend;
    // Delay before the next resend; doubles each time.
    Duration ResendDelay{0};
  };
  // A slice that its owner yielded to this node. Kept until the assignment
  // names this node as the owner.
  struct IncomingYield {
    MemberId From;
    Fence FencingNumber;
    Instant NextReport;
  };

  // A promise to the coordinator at address To.
  struct GrantedPromise {
    std::string To;
    std::uint64_t Attempt = 0;
    std::uint64_t Version = 0;
  };

  void adopt(const OwnedSlice &Slice, Effects &Output);
  // Whether the current assignment is older than a promised version.
  bool isBoundByPromise() const;
  void updateDrains(Instant Now, Effects &Output);
  void removeRecordedYields(Effects &Output);
  void sendYield(Instant Now, SliceRef Slice, OutgoingYield &Transfer,
                 Effects &Output);
  bool hasYielded(SliceRef Slice, const SliceOwner &Recorded) const;
  // Returns the deposed members that precede this node in the succession lists
  // of the slices that it serves as a successor. Linear in the number of owned
  // slices.
  std::vector<MemberId> membersActedFor() const;

  NodeState &Node;
  RoutingTable Routes;
  std::unordered_map<SliceRef, Entry> Owned;
  std::map<SliceRef, Drain> Drains;
  std::map<SliceRef, Instant> DrainRetryAt;
  std::map<SliceRef, OutgoingYield> OutgoingYields;
  std::map<SliceRef, IncomingYield> IncomingYields;
  // Deduplication tables from yields and cancelled moves, for the next adoption
  // of the slice.
  std::map<SliceRef, std::string> PendingTables;
  // This node starts to act as a successor only under a version that is not
  // below any of these. Promises of versions that the assignment has reached
  // are dropped.
  std::vector<GrantedPromise> Promises;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_SLICE_OWNERSHIP_H
