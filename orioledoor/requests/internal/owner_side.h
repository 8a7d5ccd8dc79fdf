// The owner's part of the request reducer: checks, deduplication, admission
// and the calls of the target beside this node.
//
// A Forward becomes a Work record. Every record ends in finish(), which sends
// its only answer, in forwardToOwner(), which hands the Forward to another
// node, or in cancel(). A NotRun answer is given only for a record whose call
// was never started or was refused before a byte was written.
#ifndef ORIOLEDOOR_REQUESTS_INTERNAL_OWNER_SIDE_H
#define ORIOLEDOOR_REQUESTS_INTERNAL_OWNER_SIDE_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "orioledoor/ownership/routing_view.h"
#include "orioledoor/requests/admission_queue.h"
#include "orioledoor/requests/answers.h"
#include "orioledoor/requests/duplicate_filter.h"
#include "orioledoor/requests/event.h"
#include "orioledoor/requests/events.h"
#include "orioledoor/requests/owner_request.h"
#include "orioledoor/requests/rate_limiter.h"
#include "orioledoor/requests/reducer_context.h"
#include "orioledoor/requests/spend_ledger.h"
#include "orioledoor/requests/timer_heap.h"

namespace orioledoor::requests::internal {

// Not thread-safe. Methods append effects to Context::Output.
template <ownership::RoutingView Routing> class OwnerSide {
public:
  using Ctx = Context<Routing>;

  // Shared must outlive this object.
  explicit OwnerSide(SharedState &Shared) : Shared(Shared) {}

  void handleForward(Forward Received, const Ctx &C);
  void handleCancel(const Cancel &Cancellation, const Ctx &C);
  void handleTargetAnswer(TargetAnswered Event, const Ctx &C);
  void handleTargetFailure(const TargetFailed &Event, const Ctx &C);
  void handleTargetChange(const TargetChanged &Event, const Ctx &C);
  void drain(SliceRef Slice, const Ctx &C);
  void adopt(const AdoptSlice &Event, const Ctx &C);
  void drop(SliceRef Slice, const Ctx &C);
  void resume(SliceRef Slice, const Ctx &C);
  void handleSpendGrant(const SpendGranted &Event);
  void handleCrashNotice(const CrashNotice &Notice, const Ctx &C);

  // Acts on what is due; called before each event.
  void runTimers(const Ctx &C);
  // Housekeeping, on each Tick. Linear in the number of services, and every 10
  // s in that of slices.
  void tick(const Ctx &C);
  std::optional<Instant> nextTimer() const { return this->Timers.next(); }

private:
  using Id = std::uint64_t;

  // Passes this often before a Forward is refused: two nodes may disagree
  // about the owner while a move is under way.
  static constexpr std::uint8_t MaxHops = 2;
  // Longest time until the probes of a target show that it is lost: three
  // probes, 500 ms apart, and their timeouts.
  static constexpr Duration MaxProbeTime = std::chrono::seconds(2);
  // A break counts as a crash if the target is found lost within this time and
  // answered nothing in between. Longer than MaxProbeTime, since the node
  // itself may be paused while its target crashes.
  static constexpr Duration BreakRetention = std::chrono::seconds(10);
  static constexpr Duration SweepInterval = std::chrono::seconds(10);
  // More waiting requests of one slice than this are refused.
  static constexpr std::size_t MaxParked = 4096;

  // Decides what becomes of a record in state Arrived.
  void admit(Id RecordId, const Ctx &C);
  // Looks up the operation and records it as running. False if the record was
  // answered or joined another one.
  bool deduplicate(Id RecordId, OwnerRequest &Record, OperationTable &Table,
                   const Ctx &C);
  // Takes rate and spend, and checks the queue. False if refused.
  bool reserveCapacity(Id RecordId, OwnerRequest &Record, const Ctx &C);
  // Starts the call of a record if the gate is open now.
  void start(Id RecordId, const Ctx &C);
  // Starts queued calls while slots are free.
  void startQueued(const Ctx &C);
  void forwardToOwner(Id RecordId, const Ctx &C);
  void park(Id RecordId, OwnerRequest &Record, OwnedSlice &Slice, const Ctx &C);
  void unpark(std::span<const Id> Parked, const Ctx &C);

  // Ends a record: sends Reply to the entry node and settles the operation
  // table, the waiters and the spend.
  void finish(Id RecordId, Answer Reply, const Ctx &C);
  void refuse(Id RecordId, const Refusal &Reason, const Ctx &C);
  // Undoes what admit noted for a record that did not run: its operation in
  // the table and its spend.
  void undoAdmission(Id RecordId, OwnerRequest &Record, const Ctx &C);
  // The operation that the record runs; null if its table is gone.
  Operation *findOperation(Id RecordId, const OwnerRequest &Record,
                           const Ctx &C);
  void sendAnswer(const Forward &Origin, Answer Reply, const Ctx &C);
  // Releases the slot of a running call.
  void releaseSlot(Id RecordId, OwnerRequest &Record, const Ctx &C);
  void reportIfDrained(SliceRef Ref, OwnedSlice &Slice, const Ctx &C);
  void recordTargetCrash(const Ctx &C);
  // Has all nodes refuse a request that may just have crashed its second
  // target, before the probes show it.
  void broadcastSuspicion(std::uint64_t Digest, const Ctx &C);

  OwnedSlice *findSlice(SliceRef Ref);
  std::optional<ownership::Gate> gateOf(const OwnerRequest &Record,
                                        const Ctx &C) const;

  SharedState &Shared;
  Id LastId = 0;
  std::unordered_map<Id, OwnerRequest> Requests;
  // Open records by EntryId and RequestId, for Cancel.
  std::map<std::pair<std::uint64_t, std::uint64_t>, Id> RecordByRequest;
  std::unordered_map<SliceRef, OwnedSlice> Slices;
  // Slices that this process owned at any time.
  std::unordered_set<SliceRef> EverOwned;
  DuplicateFilter Duplicates;
  AdmissionQueue Queue;
  TimerHeap Timers;
  std::unordered_map<ServiceId, RateLimiter> Limiters;
  SpendLedger Spend;
  // Broken connections, in order of time: when, digest, and the record if it
  // waits in state Suspect.
  struct ConnectionBreak {
    Instant At;
    std::uint64_t Digest = 0;
    Id RecordId = 0;
  };
  std::deque<ConnectionBreak> ConnectionBreaks;
  bool TargetReady = false;
  bool ChecksFence = false;
  // This node's member id, from the last adoption.
  MemberId SelfMember;
  std::uint64_t HistoryCount = 0;
  std::uint64_t CrashCount = 0;
  Instant SweptAt;
};

} // namespace orioledoor::requests::internal

#include "orioledoor/requests/internal/owner_calls.h"
#include "orioledoor/requests/internal/owner_slices.h"

#endif // ORIOLEDOOR_REQUESTS_INTERNAL_OWNER_SIDE_H
