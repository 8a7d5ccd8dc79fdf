// The owner side of the request reducer: ownership checks, deduplication,
// admission control and calls to the target of this node.
//
// Each Forward becomes an OwnerRequest record. A record ends in exactly one of
// finish(), which sends its only answer, forwardToOwner(), which passes the
// Forward to another node, and handleCancel(). A NotRun answer is given only if
// the call was never started or failed before a byte was written.
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

  // Runs the timers that are due. Called before each event.
  void runTimers(const Ctx &C);
  // Periodic cleanup, called on each Tick. Linear in the number of services
  // and, every 10 s, in the number of slices.
  void tick(const Ctx &C);
  std::optional<Instant> nextTimer() const { return this->Timers.next(); }

private:
  using Id = std::uint64_t;

  // How often a Forward may be passed on. More than one hop can be needed
  // because two nodes may disagree about the owner during a move.
  static constexpr std::uint8_t MaxHops = 2;
  // Longest time until probes detect the loss of a target: three probes, 500 ms
  // apart, and their timeouts.
  static constexpr Duration MaxProbeTime = std::chrono::seconds(2);
  // A broken connection counts as a crash if the target is found lost within
  // this time and has answered nothing in between. Longer than MaxProbeTime,
  // since the node itself may be paused while its target crashes.
  static constexpr Duration BreakRetention = std::chrono::seconds(10);
  static constexpr Duration SweepInterval = std::chrono::seconds(10);
  // Limit of parked requests per slice; further requests are refused.
  static constexpr std::size_t MaxParked = 4096;

  // Checks a record in state Arrived, and then starts, queues, parks,
  // coalesces, forwards, answers or refuses it.
  void admit(Id RecordId, const Ctx &C);
  // Looks up the operation of the record. Returns false if the record was
  // answered from the table, refused, or coalesced with a running request.
  bool deduplicate(Id RecordId, OwnerRequest &Record, OperationTable &Table,
                   const Ctx &C);
  // Checks the target, the expected queueing delay, the rate limit and the
  // spend, and takes a rate token and a unit of spend. Returns false if the
  // record was refused.
  bool reserveCapacity(Id RecordId, OwnerRequest &Record, const Ctx &C);
  // Starts the call of a record if the node still owns the slice and the
  // deadline has not passed; refuses the record otherwise.
  void start(Id RecordId, const Ctx &C);
  // Starts queued calls while slots are free.
  void startQueued(const Ctx &C);
  void forwardToOwner(Id RecordId, const Ctx &C);
  void park(Id RecordId, OwnerRequest &Record, OwnedSlice &Slice, const Ctx &C);
  void unpark(std::span<const Id> Parked, const Ctx &C);

  // Ends a record: sends Reply to the entry node, updates the operation table
  // and answers the waiters. Refunds the spend if the request did not run.
  void finish(Id RecordId, Answer Reply, const Ctx &C);
  void refuse(Id RecordId, const Refusal &Reason, const Ctx &C);
  // Removes the operation from the table and refunds the spend of a record that
  // did not run.
  void undoAdmission(Id RecordId, OwnerRequest &Record, const Ctx &C);
  // Returns the table entry of the operation that the record runs, or null if
  // the entry is gone or belongs to another record.
  Operation *findOperation(Id RecordId, const OwnerRequest &Record,
                           const Ctx &C);
  void sendAnswer(const Forward &Origin, Answer Reply, const Ctx &C);
  // Frees the target slot of a running call.
  void releaseSlot(Id RecordId, OwnerRequest &Record, const Ctx &C);
  void reportIfDrained(SliceRef Ref, OwnedSlice &Slice, const Ctx &C);
  void recordTargetCrash(const Ctx &C);
  // Tells all nodes to refuse a request that may have crashed a second target,
  // before the probes confirm it. Has no effect unless a first crash is
  // recorded.
  void broadcastSuspicion(std::uint64_t Digest, const Ctx &C);

  OwnedSlice *findSlice(SliceRef Ref);
  std::optional<ownership::Gate> gateOf(const OwnerRequest &Record,
                                        const Ctx &C) const;

  SharedState &Shared;
  Id LastId = 0;
  std::unordered_map<Id, OwnerRequest> Requests;
  // Open records by EntryId and RequestId; used by Cancel.
  std::map<std::pair<std::uint64_t, std::uint64_t>, Id> RecordByRequest;
  std::unordered_map<SliceRef, OwnedSlice> Slices;
  // Slices that this process has owned at any time.
  std::unordered_set<SliceRef> EverOwned;
  DuplicateFilter Duplicates;
  AdmissionQueue Queue;
  TimerHeap Timers;
  std::unordered_map<ServiceId, RateLimiter> Limiters;
  SpendLedger Spend;
  // Broken connections in order of time. RecordId names the record, which may
  // still be in state AwaitingProbe.
  struct ConnectionBreak {
    Instant BrokenAt;
    std::uint64_t Digest = 0;
    Id RecordId = 0;
  };
  std::deque<ConnectionBreak> ConnectionBreaks;
  bool TargetReady = false;
  bool ChecksFence = false;
  // Member id of this node, set when it adopts a slice.
  MemberId SelfMember;
  std::uint64_t HistoryCount = 0;
  std::uint64_t CrashCount = 0;
  Instant SweptAt;
};

} // namespace orioledoor::requests::internal

#include "orioledoor/requests/internal/owner_calls.h"
#include "orioledoor/requests/internal/owner_slices.h"

#endif // ORIOLEDOOR_REQUESTS_INTERNAL_OWNER_SIDE_H
