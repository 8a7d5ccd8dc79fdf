// Checks the guarantees of the request path from the observations of targets
// and callers.
//
//   SoakChecker Checker;
//   Checker.recordStart(Target, "a-17", MayRepeat, Now);
//   Checker.recordRejection("a-17", Now);   // 503 from a node
//   for (const Violation &Found : Checker.violations()) ...
#ifndef ORIOLEDOOR_SOAK_SOAK_CHECKER_H
#define ORIOLEDOOR_SOAK_SOAK_CHECKER_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::soak {

// A violated guarantee.
struct Violation {
  Instant At{};
  std::string Rule{};
  std::string Detail{};
};

// The parts of a request that a target must receive as its caller sent them,
// and the service of the VM where it began.
struct RequestParts {
  std::string Method{};
  // Path and query.
  std::string Target{};
  std::string Body{};
  std::string CallerService{};

  friend bool operator==(const RequestParts &, const RequestParts &) = default;
};

// Not thread-safe.
class SoakChecker {
public:
  // Records that a target acquired a key with a fencing token that is new to
  // it. Tokens of a key must increase.
  void recordAcquisition(const std::string &Target, std::uint32_t Key,
                         std::int64_t Fence, Instant Now);
  // Checks that the key has at most one holder, apart from a short overlap
  // during a move. Targets: all running targets that hold the key. Call every
  // 20 to 100 ms.
  void checkHolders(std::uint32_t Key, std::span<const std::string> Targets,
                    Instant Now);
  // Records that a target began to run a request. Only a request that MayRepeat
  // may run more than once, and none may run after a rejection.
  void recordStart(const std::string &Target, const std::string &Attempt,
                   bool MayRepeat, Instant Now);
  // Records that a target has answered a request.
  void recordEnd(const std::string &Attempt, Instant Now) {
    this->AnsweredAt[Attempt] = Now;
  }
  // Records that a caller was told that its request has not run and will not
  // run.
  void recordRejection(const std::string &Attempt, Instant Now);
  // Records that a caller got no answer of a target, although no fault explains
  // it. A request that had begun to run was cut off.
  void recordUnanswered(const std::string &Attempt, Instant Now);
  // Records that the time of a caller was over before it got an answer of a
  // target. An answer that the target gave well before that was lost.
  void recordTimedOut(const std::string &Attempt, Instant Now);
  // Checks the answer of a node to a request for the route Path, which exists
  // or not in the configuration that the node must have applied. 503 is
  // consistent with both.
  void checkRoute(const std::string &Node, const std::string &Path, bool Exists,
                  int Status, Instant Now);
  // Records that a target states another limit on its request rate, in requests
  // per second, or none. Also forgets its earlier arrivals.
  void recordLimit(const std::string &Target, std::optional<double> Limit,
                   Instant Now);
  // Records that a request of a caller reached a target, and checks the
  // target's limit and whether the request was sent in time to a target that is
  // leaving. Target: identifies its incarnation.
  void recordArrival(const std::string &Target, const std::string &Attempt,
                     Instant Now);
  // Records that a caller sent a request to Node.
  void recordSent(const std::string &Node, const std::string &Attempt,
                  RequestParts Parts, Instant Now);
  // Records that the settings of Node name another service from now on.
  void recordServiceChange(const std::string &Node, Instant Now) {
    this->ServiceChangedAt[Node] = Now;
  }
  // Checks that a request which reached a target was sent by a caller, and
  // unchanged. Seen: what the target received.
  void checkParts(const std::string &Target, const std::string &Attempt,
                  const RequestParts &Seen, Instant Now);
  // Records that Node passed on an answer which states that Target is leaving.
  void recordLeavingAnswer(const std::string &Node, const std::string &Target,
                           Instant Now);
  // Records that Node acknowledged to its target that it is leaving. Requests
  // that are sent after the drain time, while both nodes are in touch, must not
  // reach it.
  void recordLeavingAcknowledged(const std::string &Node,
                                 const std::string &Target, Instant Now) {
    this->LeavingAcknowledged.try_emplace(Target, Node, Now);
  }
  // Node does not run, or has just started, so it is not in touch.
  void recordNodeDown(const std::string &Node, Instant Now) {
    this->NodesDownAt[Node] = Now;
  }
  // Records that a caller closed its connection before its answer. Its request
  // must not reach a target long after that.
  void recordDeparture(const std::string &Attempt, Instant Now);
  // Callers may have observed departures and arrivals late up to Now.
  void excuseDepartures(Instant Now) { this->DeparturesExcusedAt = Now; }
  // Node was restarted or suspended, so it may not know leaving targets, nor
  // which of its callers have left.
  void excuseNode(const std::string &Node, Instant Now);
  // Records a violation that was detected elsewhere.
  void addViolation(const std::string &Rule, const std::string &Detail,
                    Instant Now);

  const std::vector<Violation> &violations() const { return this->Violations; }

private:
  struct LimitedTarget {
    // Requests per second.
    double Limit = 0;
    Instant Since;
    // Times of arrival within the last window.
    std::deque<Instant> Arrivals;
  };
  struct SentRequest {
    std::string Node;
    RequestParts Parts;
    Instant At;
    std::optional<Instant> LeftAt;
  };

  // Checks that the target may still get this request.
  void checkLeaving(const std::string &Target, const std::string &Attempt,
                    const SentRequest &Sent, Instant Now);
  // Checks that the caller has not left long ago.
  void checkDeparture(const std::string &Target, const std::string &Attempt,
                      const SentRequest &Sent, Instant Now);

  // The highest fencing token of each key.
  std::map<std::uint32_t, std::int64_t> HighestFences;
  // The time since which a key has had more than one holder.
  std::map<std::uint32_t, Instant> SharedSince;
  // The number of runs of each request, by attempt ID.
  std::unordered_map<std::string, std::uint32_t> RunCounts;
  // When the first run of each request was answered.
  std::unordered_map<std::string, Instant> AnsweredAt;
  std::set<std::string> Rejected;
  std::map<std::string, LimitedTarget> LimitedTargets;
  // By attempt ID.
  std::unordered_map<std::string, SentRequest> SentRequests;
  // When the service of a VM changed last, by node.
  std::map<std::string, Instant> ServiceChangedAt;
  // Earlier departures are not checked: at one node, and at all.
  std::map<std::string, Instant> NodesExcusedAt;
  Instant DeparturesExcusedAt;
  // When each node first passed on that a target is leaving, by node and
  // target.
  std::map<std::pair<std::string, std::string>, Instant> LeavingSeen;
  // The node that acknowledged it, and when, by target.
  std::map<std::string, std::pair<std::string, Instant>> LeavingAcknowledged;
  // When each node was last down.
  std::map<std::string, Instant> NodesDownAt;
  std::vector<Violation> Violations;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_SOAK_CHECKER_H
