// The entry node's part of the request reducer: checks, deadlines, tries and
// the answer to the caller.
//
// Each caller's request is a PendingRequest with at most one open try. An
// answer counts only if it names the open try; all others are late.
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
  void handleCallerGone(std::uint64_t CallerId, const Ctx &C);
  void handleAnswer(Answer Reply, const Ctx &C);
  void handleSendFailure(const PeerSendFailed &Event, const Ctx &C);
  void handlePeerLoss(const std::string &Address, const Ctx &C);
  // Acts on what is due; called before each event.
  void runTimers(const Ctx &C);
  // Housekeeping, on each Tick. Constant.
  void tick();
  std::optional<Instant> nextTimer() const { return this->Timers.next(); }

private:
  using Id = std::uint64_t;

  // A request waits this long for an owner: the time within which a key is
  // served again after a loss (2 s), and some margin.
  static constexpr Duration MaxOwnerWait = std::chrono::milliseconds(2500);
  // The answer of a peer whose connection was lost may still arrive over a
  // fresh one; a non-idempotent operation waits for it this long.
  static constexpr Duration AnswerGrace = std::chrono::seconds(1);
  // Histories change only with a loss, so a second change within one request
  // is rare and a fifth is a fault.
  static constexpr std::uint32_t MaxHistoryChanges = 4;
  // After a gap of three regular ticks between events the process counts as
  // paused: requests that lay in its sockets are older than they say.
  static constexpr Duration PauseGap = std::chrono::milliseconds(60);
  // Time within which the shell reads what piled up during a pause.
  static constexpr Duration PauseCatchUpTime = std::chrono::milliseconds(500);

  // Fills in what the catalogue entry decides. A refusal if it forbids the
  // request.
  std::optional<Refusal> prepare(PendingRequest &Record, CallerRequest &Event,
                                 const Ctx &C);
  // Opens a try or schedules a retry.
  void dispatch(Id RecordId, const Ctx &C);
  std::optional<ownership::Route> selectRoute(const PendingRequest &Record,
                                              const Ctx &C);
  // Retries after a failure that certainly involved no target.
  void waitForOwner(Id RecordId, Answer Failure, const Ctx &C);
  // Retries within the caller's tries and the budget, or settles.
  void retryWithinBudget(Id RecordId, Answer Failure, const Ctx &C);
  void scheduleRetry(Id RecordId, const Ctx &C);
  // Closes the open try; its answer is late from now on.
  void closeTry(PendingRequest &Record);
  void sendCancel(const PendingRequest &Record, const Ctx &C);
  // Gives the caller its only answer and removes the record.
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
  // The last pause began at PausedAt; requests that arrive before PausedUntil
  // may have been sent at any time since.
  Instant PausedAt;
  Instant PausedUntil;
};

} // namespace orioledoor::requests::internal

#include "orioledoor/requests/internal/entry_tries.h"

#endif // ORIOLEDOOR_REQUESTS_INTERNAL_ENTRY_SIDE_H
