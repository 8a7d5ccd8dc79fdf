// The entry side of the request reducer: validates callers' requests, routes
// and retries them, enforces deadlines and answers the callers.
//
// Each caller's request is a PendingRequest with at most one open try. Only an
// answer to the open try is accepted; all others are late and ignored.
#ifndef ORIOLEDOOR_REQUESTS_INTERNAL_ENTRY_SIDE_H
#define ORIOLEDOOR_REQUESTS_INTERNAL_ENTRY_SIDE_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/ownership/routing_view.h"
#include "orioledoor/requests/answers.h"
#include "orioledoor/requests/backoff.h"
#include "orioledoor/requests/event.h"
#include "orioledoor/requests/events.h"
#include "orioledoor/requests/history_cache.h"
#include "orioledoor/requests/member_selector.h"
#include "orioledoor/requests/pending_request.h"
#include "orioledoor/requests/reducer_context.h"
#include "orioledoor/requests/retry_budget.h"
#include "orioledoor/requests/timer_heap.h"

namespace orioledoor::requests::internal {

// Not thread-safe. Methods append effects to Context::Output.
template <ownership::RoutingView Routing> class EntrySide {
public:
  using Ctx = Context<Routing>;

  // Shared must outlive this object.
  explicit EntrySide(SharedState &Shared) : Shared(Shared) {}

  void receive(CallerRequest Event, const Ctx &C);
  void handleCallerDisconnect(std::uint64_t CallerId, const Ctx &C);
  void handleAnswer(Answer Reply, const Ctx &C);
  void handleSendFailure(const PeerSendFailed &Event, const Ctx &C);
  void handlePeerLoss(const std::string &Address, const Ctx &C);
  // Runs the timers that are due. Called before each event.
  void runTimers(const Ctx &C);
  // Periodic cleanup, called on each Tick. Constant.
  void tick();
  std::optional<Instant> nextTimer() const { return this->Timers.next(); }

private:
  using Id = std::uint64_t;

  // How long a request waits for an owner: a key is served again within 2 s
  // after a loss, plus a margin.
  static constexpr Duration MaxOwnerWait = std::chrono::milliseconds(2500);
  // How long a non-idempotent operation waits for its answer after the
  // connection to the owner was lost. The answer may still arrive over a new
  // connection.
  static constexpr Duration AnswerGrace = std::chrono::seconds(1);
  // A history changes only when the operation table is lost, so a second change
  // within one request is rare and a fifth indicates a fault.
  static constexpr std::uint32_t MaxHistoryChanges = 4;
  // A gap of three regular ticks between events means that the process was
  // paused. Requests that waited in its sockets meanwhile are older than they
  // state.
  static constexpr Duration PauseGap = std::chrono::milliseconds(60);
  // Time in which the I/O layer reads the input that accumulated during a
  // pause.
  static constexpr Duration PauseCatchUpTime = std::chrono::milliseconds(500);

  // Fills in the fields that depend on the catalogue entry. Returns a refusal
  // if the entry does not allow the request.
  std::optional<Refusal> prepare(PendingRequest &Record, CallerRequest &Event,
                                 const Ctx &C);
  // Sends a try to the owner or schedules a retry.
  void dispatch(Id RecordId, const Ctx &C);
  std::optional<ownership::Route> selectRoute(const PendingRequest &Record,
                                              const Ctx &C);
  // Schedules a retry after a failure that involved no target.
  void waitForOwner(Id RecordId, Answer Failure, const Ctx &C);
  // Schedules a retry if the caller's tries and the retry budget allow it;
  // completes the request with Failure otherwise.
  void retryWithinBudget(Id RecordId, Answer Failure, const Ctx &C);
  void scheduleRetry(Id RecordId, const Ctx &C);
  // Closes the open try. Its answer is ignored if it arrives later.
  void closeTry(PendingRequest &Record);
  void sendCancel(const PendingRequest &Record, const Ctx &C);
  // Sends the caller its only answer and removes the record.
  void complete(Id RecordId, Answer Reply, const Ctx &C);
  Answer makeFailure(const Refusal &Reason, std::string Peer) const;

  SharedState &Shared;
  Id LastId = 0;
  std::uint64_t LastRequestId = 0;
  std::uint64_t GeneratedIds = 0;
  std::unordered_map<Id, PendingRequest> PendingRequests;
  std::unordered_map<std::uint64_t, Id> RecordByCaller;
  // Open tries by RequestId.
  std::unordered_map<std::uint64_t, Id> OpenTries;
  TimerHeap Timers;
  HistoryCache Histories;
  MemberSelector Members;
  std::unordered_map<ServiceId, RetryBudget> Budgets;
  Instant LastEventAt;
  // The last pause began at PausedAt. Requests that are received before
  // PausedUntil may have been sent at any time since PausedAt.
  Instant PausedAt;
  Instant PausedUntil;
};

} // namespace orioledoor::requests::internal

#include "orioledoor/requests/internal/entry_tries.h"

#endif // ORIOLEDOOR_REQUESTS_INTERNAL_ENTRY_SIDE_H
