// Ingress side of the request path: accepts a caller's request, forwards it to
// the node of a target, retries it where that is safe, and answers the caller.
//
//   EntryReducer Entry(Options, Directory, LookUpOwner);
//   Entry.setTable(Table);
//   Entry.handleRequest(CallerRequest, Now, Out);
//   Entry.handleResult(From, ForwardResult, Now, Out);
//
// Status 503 promises the caller that no target has run the request. A request
// that was forwarded is refused with 503 only if its result says that it was
// not run.
#ifndef ORIOLEDOOR_ROUTING_ENTRY_H
#define ORIOLEDOOR_ROUTING_ENTRY_H

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "orioledoor/routing/adaptive_throttle.h"
#include "orioledoor/routing/answer_sizes.h"
#include "orioledoor/routing/effect.h"
#include "orioledoor/routing/failure_cause.h"
#include "orioledoor/routing/hot_key_limit.h"
#include "orioledoor/routing/open_forward.h"
#include "orioledoor/routing/refused_requests.h"
#include "orioledoor/routing/retry_budgets.h"
#include "orioledoor/routing/route_table.h"
#include "orioledoor/routing/service_shares.h"
#include "orioledoor/routing/target_directory.h"

namespace orioledoor::routing {

using SharedRouteTable = std::shared_ptr<const RouteTable>;

// A decoded request of a caller.
struct CallerRequest {
  // Id of the caller's request at the sidecar; ReplyToCaller carries it.
  std::uint64_t Caller = 0;
  std::string AttemptId{};
  // Service of this VM when the request arrived; it is sent with the request as
  // its origin, whatever the caller stated.
  std::string CallerService{};
  // How long the caller waits, counted from FirstByteAt; empty if it did not
  // state a timeout.
  std::optional<Duration> TimeLeft{};
  std::int32_t Key = NoKey;
  Instant FirstByteAt{};
  // Share of the runs at the target of this VM that are repeats, 0 to 1, when
  // the request arrived.
  double LocalRepeatShare = 0;
  SharedContent Content{};
};

// Node that serves a key of a partitioned service.
struct KeyOwner {
  // Peer address of the node beside the target that owns the key; empty if
  // there is none.
  std::string Node{};
  // The target that owns the key.
  TargetRef Target{};
  // The key is being transferred and will soon be served, by this owner or
  // another.
  bool Moving = false;
  // Store revision of the key map that says so; 0 if there is none.
  std::int64_t MapRevision = 0;
};

struct EntryOptions {
  std::string Node{};
  // Id of this process in messages to other nodes.
  std::uint64_t Process = 0;
  RetryBudgetOptions Budget{};
};

// A state machine without I/O: it reads no clock, socket or random source, and
// appends its outputs to Out. Not thread-safe.
class EntryReducer {
public:
  using OwnerLookup =
      std::function<KeyOwner(std::string_view Service, std::int32_t Key)>;

  // Directory and LookUpOwner must outlive the reducer.
  EntryReducer(EntryOptions Options, TargetDirectory &Directory,
               OwnerLookup LookUpOwner);

  void setTable(SharedRouteTable Table);
  // States whether other nodes have a newer configuration in force. While this
  // is set, requests without a route are answered with a retryable 503 instead
  // of 404.
  void setNewerTableKnown(bool Known) { this->NewerTableKnown = Known; }
  const SharedRouteTable &table() const { return this->Table; }

  // Ends all requests, open ones and later ones, by Latest.
  void limitDeadlines(Instant Latest);
  // Number of nodes that share the retry budgets, this one included.
  void setFleetSize(std::size_t Nodes) { this->Budgets.setFleetSize(Nodes); }
  // Returns whether the retry budget of a service that the target on this VM
  // calls is short. It is better spent on a call that failed than on another
  // run of the request that made the call.
  bool callsOverBudget(Instant Now) const;

  void handleRequest(CallerRequest Request, Instant Now, Effects &Out);
  // Answers a request that was not accepted and logs the refusal. RetryAfter is
  // only used with status 503.
  void reject(const CallerRequest &Request, int Status, std::string_view Step,
              std::string_view Reason, std::optional<Duration> RetryAfter,
              Effects &Out);
  void handleCallerDisconnect(std::uint64_t Caller, Instant Now, Effects &Out);
  void handleResult(const std::string &From, ForwardResult Result, Instant Now,
                    Effects &Out);
  // Node has capacity for a request body that was withheld; sends the body.
  void handleFetchBody(const std::string &Node, const FetchBody &Fetch,
                       Instant Now, Effects &Out);
  // Node asks whether the caller of a request still waits.
  void handleConfirm(const std::string &Node, const ConfirmForward &Asked,
                     Instant Now, Effects &Out);
  // The Forward, ForwardBody or ResumeForward with this id was certainly not
  // sent to Node.
  void handleSendFailure(const std::string &Node, std::uint64_t Id, Instant Now,
                         Effects &Out);
  // The CancelForward with this id was certainly not sent to Node.
  void handleCancelNotSent(const std::string &Node, std::uint64_t Id,
                           Instant Now);
  // The connection to Node broke. Requests that were forwarded there may be
  // lost.
  void handleConnectionLost(const std::string &Node, Instant Now, Effects &Out);
  // Node sends over a new connection. Results and questions that it sent over
  // an earlier one may be lost.
  void handleNewConnection(const std::string &Node, Instant Now, Effects &Out);
  // Node is no longer a member. Its process may still run requests, since an
  // entry also vanishes when the store loses the renewals of its lease. Ends
  // those requests that Node can't be asked about.
  void handleNodeRemoved(const std::string &Node, Instant Now, Effects &Out);
  // Node runs a new process. It may already have received requests, so it is
  // asked for their state.
  void handleNodeReplaced(const std::string &Node, Instant Now, Effects &Out);
  // The owners of keys have changed; parked requests are dispatched again.
  void handleOwnersChanged(Instant Now, Effects &Out);
  // Ends overdue requests and dispatches parked ones. Call every 20 ms.
  void tick(Instant Now, Effects &Out);

  std::size_t openRequests() const { return this->PendingRequests.size(); }
  const RetryBudgets &retryBudgets() const { return this->Budgets; }
  // Number of requests that were refused here, without asking a target, since
  // targets refused most of the recent ones.
  std::uint64_t throttledRequests() const { return this->ThrottledRequests; }
  // Number of requests that repeated a refused one before its Retry-After was
  // over, and were refused.
  std::uint64_t earlyRepeats() const { return this->EarlyRepeats; }
  // Number of requests for hot keys that were refused here.
  std::uint64_t hotKeyRefusals() const { return this->HotKeys.refused(); }
  // Number of requests that were refused because no target, or not the owner of
  // their key, is at a place that they may use.
  std::uint64_t placementRefusals() const { return this->PlacementRefusals; }
  // Number of requests that failed here although a target may have run them.
  std::uint64_t failures(FailureCause Cause) const {
    return this->Failures[static_cast<std::size_t>(Cause)];
  }
  // Number of those that failed after limitDeadlines().
  std::uint64_t failuresWhileStopping() const {
    return this->FailuresWhileStopping;
  }

private:
  struct PendingRequest {
    CallerRequest Request;
    // Keeps MatchedRoute alive.
    SharedRouteTable Table;
    const Route *MatchedRoute = nullptr;
    std::string Service;
    RequestClassId RequestClass = 0;
    bool Partitioned = false;
    Instant AcceptedAt;
    // Equal for a request and its repetition by the same caller.
    std::uint64_t RepeatHash = 0;
    // The last result was that the target has no room.
    bool Busy = false;
    // Revision of the key map that the owner was last looked up in.
    std::int64_t KeyMapRevision = 0;
    // The caller must have its answer by this time.
    Instant Deadline;
    // An answer by this time meets the latency target of the route.
    Instant LatencyDeadline;
    // The latest try; not open while parked.
    OpenForward Current;
    // Earlier tries whose nodes could not be reached. Their targets may still
    // be at work, so they are given up only when a node states the outcome.
    std::vector<OpenForward> Unresolved;
    std::vector<std::string> TriedNodes;
    // Number of targets that may have received the request.
    int TargetAttempts = 0;
    int Refusals = 0;
    // As in Forward, for the first target.
    std::uint8_t InheritedRepeatPercent = 0;
    // A target may have run the request.
    bool MayHaveRun = false;
    Instant ParkUntil;
    // While parked: time of the next owner lookup.
    Instant NextOwnerLookup;
    Duration RetryAfter{0};
    // The last error answer that was returned by a target.
    std::optional<HttpAnswer> LastAnswer;
  };

  // What is known of the room of a service for requests of one priority.
  struct ServiceRoom {
    AdaptiveThrottle Throttle;
    std::optional<Instant> LoggedAt{};
  };

  // A class of requests that targets send on behalf of their runs.
  struct CalledClass {
    std::string Service;
    // Time of the last result that said so.
    Instant StatedAt;
  };

  // A cancelled Forward. The cancellation may have to be sent again, since it
  // can be lost with its connection while the target runs the request.
  struct Withdrawal {
    std::string Node;
    // The target stops by itself at this time.
    Instant Until;
    // The cancellation was not sent and is due at this time.
    std::optional<Instant> RetryAt;
  };

  // Logs the steps by which a share of the requests leaves 0 or returns to it.
  void logSpill(const PendingRequest &Pending, const TargetChoice &Choice,
                Effects &Out) const;
  // Regions that the request may use now. A configuration that came into force
  // after its arrival counts, since its target is chosen later.
  std::span<const std::string>
  allowedRegions(const PendingRequest &Pending) const;
  // Returns why a request without a key has no target, for its caller.
  std::string_view reasonForNoTarget(const PendingRequest &Pending);
  // Refuses a new request for a hot key that exceeds the share which its target
  // can serve. Returns whether it did.
  bool refuseHotKey(PendingRequest &Pending, Instant Now, Effects &Out);
  // Chooses a target and forwards the request, or parks or ends it.
  void dispatch(PendingRequest &Pending, Instant Now, Effects &Out);
  void send(PendingRequest &Pending, const std::string &To, bool LastChoice,
            Instant Now, Effects &Out, Duration MaxUsefulWait = Duration(0));
  // Holds back a keyed request until its key has an owner again.
  void park(PendingRequest &Pending, Instant Now, Effects &Out);
  // Returns the open try with this id, or null.
  static OpenForward *findForward(PendingRequest &Pending, std::uint64_t Id);
  // The open tries of a request at Node.
  static std::vector<OpenForward *> forwardsAt(PendingRequest &Pending,
                                               std::string_view Node);
  // Returns whether the request has no open try.
  static bool isParked(const PendingRequest &Pending) {
    return !Pending.Current.isOpen() && Pending.Unresolved.empty();
  }
  // Asks the node for the state of a request.
  void ask(OpenForward &Sent, Instant Now, Effects &Out) const;
  // Asks again at nodes that could not be asked before.
  void askAgain(PendingRequest &Pending, Instant Now, Effects &Out) const;
  // The node of the current try can't be reached. Tries another target if the
  // request may run more than once, and goes on waiting for the first one too.
  void tryElsewhere(PendingRequest &Pending, std::string_view Why, Instant Now,
                    Effects &Out);
  // A node stated the outcome of an earlier try.
  void handleEarlierResult(PendingRequest &Pending, ForwardResult Result,
                           Instant Now, Effects &Out);
  // An earlier try has certainly ended without an answer. Fails the request if
  // it has no other try.
  void dropUnresolved(PendingRequest &Pending, std::uint64_t Id,
                      FailureCause Cause, std::string_view Why, Instant Now,
                      Effects &Out);
  // Takes a request back whose body was not sent, so that it can go elsewhere.
  // Returns false if it was sent.
  bool withdrawWithheld(const std::string &Node, PendingRequest &Pending,
                        Instant Now, Effects &Out);
  // Callers of the requests with an open try at Node, in ascending order.
  std::vector<std::uint64_t> callersAt(const std::string &Node);
  // Cancels the open tries of a request at their nodes, and closes them
  // locally.
  void withdraw(PendingRequest &Pending, Effects &Out);
  void withdraw(OpenForward &Sent, Instant Until, Effects &Out);
  void sendCancel(std::uint64_t ForwardId, Withdrawal &Cancelled, Effects &Out);
  // Sends the cancellations again that are due.
  void retryCancels(Instant Now, Effects &Out);
  // Closes a try locally, without a result.
  void close(OpenForward &Sent);
  // Returns whether another attempt is allowed, and takes it out of the budget.
  bool tryConsumeRetry(const PendingRequest &Pending, RetryReason Reason,
                       Instant Now);
  // Records that a target may have received the request.
  void noteReachedTarget(PendingRequest &Pending, Instant Now);
  // Returns the probability that a request is a repeat when it arrives: it may
  // be a call of a run at the target of this VM that is one.
  double inheritedRepeatShare(const PendingRequest &Pending, Instant Now) const;
  void handleNotRun(PendingRequest &Pending, const ForwardResult &Result,
                    Instant Now, Effects &Out);
  void handleLost(PendingRequest &Pending, FailureCause Cause,
                  std::string_view Detail, Instant Now, Effects &Out);
  void handleAnswer(PendingRequest &Pending, ForwardResult Result, Instant Now,
                    Effects &Out);
  // Passes the answer of a target to the caller.
  void answer(PendingRequest &Pending, ForwardResult Result, Instant Now,
              Effects &Out);
  void finish(std::uint64_t Caller, HttpAnswer Answer, Effects &Out);
  // Answers 503: the request has not run.
  void refuse(PendingRequest &Pending, std::string_view Reason,
              Duration RetryAfter, Instant Now, Effects &Out);
  // Answers 502 or 504: the request may have run. Goes on waiting instead while
  // an earlier try is unresolved.
  void fail(PendingRequest &Pending, int Status, FailureCause Cause,
            std::string_view Reason, Instant Now, Effects &Out);
  // Returns null for requests with keys.
  ServiceRoom *roomOf(const PendingRequest &Pending);
  // Refuses a new request if its service is short of room and its turn is not
  // now. Returns whether it was refused.
  bool refuseEarly(PendingRequest &Pending, Instant Now, Effects &Out);
  // All targets that were tried refused the request.
  void noteRefusedByTargets(const PendingRequest &Pending, Instant Now);
  // A target answered the request.
  void noteAccepted(const PendingRequest &Pending);
  // Answers 503 with a Retry-After of at least RetryAfter, and remembers it.
  void refuseForRoom(PendingRequest &Pending, std::string_view Reason,
                     Duration RetryAfter, Instant Now, Effects &Out);

  EntryOptions Options;
  // Set once the process stops; no request lasts longer.
  std::optional<Instant> LatestDeadline;
  TargetDirectory &Directory;
  OwnerLookup LookUpOwner;
  SharedRouteTable Table;
  bool NewerTableKnown = false;
  std::uint64_t PlacementRefusals = 0;
  std::uint64_t NextForwardId = 1;
  std::unordered_map<std::uint64_t, PendingRequest> PendingRequests;
  // Callers of all pending requests with open tries, by the id of the Forward.
  std::unordered_map<std::uint64_t, std::uint64_t> CallerByForward;
  // By the id of the Forward, in the order in which they were sent.
  std::map<std::uint64_t, Withdrawal> Withdrawals;
  RetryBudgets Budgets;
  // Classes of the calls that the target of this VM makes.
  std::map<RequestClassId, CalledClass> CallClasses;
  AnswerSizes Sizes;
  // By service and priority.
  std::map<std::pair<std::string, int>, ServiceRoom> Rooms;
  RefusedRequests Refused;
  HotKeyLimit HotKeys;
  std::uint64_t ThrottledRequests = 0;
  // By cause.
  std::array<std::uint64_t, FailureCauseCount> Failures{};
  std::uint64_t FailuresWhileStopping = 0;
  std::uint64_t EarlyRepeats = 0;
  ServiceShares Shares;
  // Seeded with the process id, so that nodes throttle different requests.
  std::mt19937_64 Random;
  // By route: the longest timeout that callers of a keyed route stated, which
  // is the timeout of a first attempt.
  std::map<std::string, Duration> MaxTimeLeftByRoute;
};

// An error answer that is generated by the router; it does not carry a target's
// signature.
HttpAnswer makeErrorAnswer(int Status, std::string_view Step,
                           std::string_view Reason,
                           std::optional<Duration> RetryAfter = {});

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_ENTRY_H
