// The entry side of the request path: from a caller's request to its answer.
//
//   EntryReducer Entry(Options);
//   Entry.setTable(Table);
//   Entry.request(CallerRequest, Owners, Directory, Now, Out);
//   Entry.result(From, ForwardResult, ...);
//
// Once a request was forwarded and no result says that it was not run, it is
// never refused with a status that promises so.
#ifndef ORIOLEDOOR_ROUTING_ENTRY_H
#define ORIOLEDOOR_ROUTING_ENTRY_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "orioledoor/routing/effect.h"
#include "orioledoor/routing/retry_budget.h"
#include "orioledoor/routing/route_table.h"
#include "orioledoor/routing/service_shares.h"
#include "orioledoor/routing/target_directory.h"

namespace orioledoor::routing {

using SharedTable = std::shared_ptr<const RouteTable>;

// A request as a caller sent it, decoded.
struct CallerRequest {
  // Names the caller's request to the shell.
  std::uint64_t Caller = 0;
  std::string AttemptId{};
  // What the caller will wait, from FirstByteAt; empty if it does not say.
  std::optional<Duration> TimeLeft{};
  std::int32_t Key = NoKey;
  Instant FirstByteAt{};
  SharedContent Content{};
};

// Where the key of a partitioned service is served.
struct KeyOwner {
  // Peer address of the node beside the owner; empty if there is none.
  std::string Node{};
  // The key is about to be served, here or elsewhere.
  bool Moving = false;
};

struct EntryOptions {
  std::string Node{};
  // Identifies this process to other nodes.
  std::uint64_t Process = 0;
  // The service of the target on this VM, which requests from here carry.
  std::string CallerService{};
  RetryBudgetOptions Budget{};
};

// Not thread-safe; no clock, socket or random source.
class EntryReducer {
public:
  using OwnerLookup =
      std::function<KeyOwner(std::string_view Service, std::int32_t Key)>;

  // Directory and Owners outlive the reducer.
  EntryReducer(EntryOptions Options, TargetDirectory &Directory,
               OwnerLookup Owners);

  void setTable(SharedTable Table);
  // Whether other nodes have a newer table in force. Until it is set, requests
  // without a route are told to come back.
  void awaitTable(bool Newer) { this->NewerTable = Newer; }
  const SharedTable &table() const { return this->Table; }
  void setCallerService(std::string Service);

  void request(CallerRequest Request, Instant Now, Effects &Out);
  // Ends a request that was not taken, with its log line. Status 503 takes
  // RetryAfter.
  void reject(const CallerRequest &Request, int Status, std::string_view Step,
              std::string_view Why, std::optional<Duration> RetryAfter,
              Effects &Out);
  void callerGone(std::uint64_t Caller, Instant Now, Effects &Out);
  void result(const std::string &From, ForwardResult Result, Instant Now,
              Effects &Out);
  // Node has room for a request whose body was withheld.
  void fetchBody(const std::string &Node, const FetchBody &Asked, Instant Now,
                 Effects &Out);
  // A Forward to Node certainly did not leave, or the question what became of
  // it did not.
  void notSent(const std::string &Node, std::uint64_t Id, Instant Now,
               Effects &Out);
  // The connection to Node broke or its process ended: what was forwarded
  // there may be lost.
  void nodeLost(const std::string &Node, bool Ended, Instant Now, Effects &Out);
  // Node runs a new process. It may have been there for a while, and says what
  // became of the requests that it knows.
  void nodeReplaced(const std::string &Node, Instant Now, Effects &Out);
  // Owners of keys changed.
  void ownersChanged(Instant Now, Effects &Out);
  // Ends overdue requests. Call every 20 ms.
  void tick(Instant Now, Effects &Out);

  std::size_t openRequests() const { return this->Open.size(); }

private:
  struct Pending {
    CallerRequest Request;
    // Keeps Of alive.
    SharedTable Table;
    const Route *Of = nullptr;
    std::string Service;
    WorkId Work = 0;
    bool Partitioned = false;
    // When the caller must have its answer.
    Instant Deadline;
    // When it has its full value.
    Instant LatencyEnd;
    // The node of the open Forward; empty while parked.
    std::string At;
    std::uint64_t ForwardId = 0;
    // The process that the Forward went to, as far as known.
    std::uint64_t Receiver = 0;
    Instant SentAt;
    // The node was not sent the body yet, so nothing has run.
    bool BodyWithheld = false;
    // The connection broke, and the node was asked what became of the request.
    bool Resumed = false;
    std::vector<std::string> Tried;
    // Targets that may have seen the request.
    int Sends = 0;
    int Bounces = 0;
    // A target may have run it.
    bool MayHaveRun = false;
    Instant ParkUntil;
    // While parked: when the owner is asked again.
    Instant AskAt;
    Duration RetryAfter{0};
    // The last failure that a target itself answered.
    std::optional<HttpAnswer> LastAnswer;
  };

  void dispatch(Pending &Of, Instant Now, Effects &Out);
  void send(Pending &Of, const std::string &To, bool LastChoice, Instant Now,
            Effects &Out, Duration WorthwhileWait = Duration(0));
  void park(Pending &Of, Instant Now, Effects &Out);
  // Ends the open Forward of Of, without a result.
  void leaveTarget(Pending &Of);
  bool mayRetry(const Pending &Of, Instant Now);
  void handleNotRun(Pending &Of, const ForwardResult &Result, Instant Now,
                    Effects &Out);
  void handleLost(Pending &Of, std::string_view Detail, Instant Now,
                  Effects &Out);
  void handleAnswer(Pending &Of, ForwardResult Result, Instant Now,
                    Effects &Out);
  void finish(std::uint64_t Caller, HttpAnswer Answer, Effects &Out);
  // 503: the request has not run.
  void refuse(Pending &Of, std::string_view Why, Duration RetryAfter,
              Instant Now, Effects &Out);
  // 502 or 504: the request may have run.
  void fail(Pending &Of, int Status, std::string_view Why, Instant Now,
            Effects &Out);
  RetryBudget &budgetOf(const std::string &Service);

  EntryOptions Options;
  TargetDirectory &Directory;
  OwnerLookup Owners;
  SharedTable Table;
  bool NewerTable = false;
  std::uint64_t NextForward = 1;
  std::unordered_map<std::uint64_t, Pending> Open;
  // Invariant: every pending request with a Forward, by its id.
  std::unordered_map<std::uint64_t, std::uint64_t> ByForward;
  std::map<std::string, RetryBudget> Budgets;
  ServiceShares Shares;
  // The time that callers of a keyed route have when they come first.
  std::map<std::string, Duration> LongestTimeLeft;
};

// An answer of the router's own; it has no signature of a target.
HttpAnswer ownAnswer(int Status, std::string_view Step, std::string_view Why,
                     std::optional<Duration> RetryAfter = {});

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_ENTRY_H
