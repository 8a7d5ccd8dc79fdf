// Requests of callers in a simulated fleet, and the runs that targets make of
// them. Checks the guarantees of the request path:
//   - a request that a target runs is answered with that target's answer, while
//     its time lasts and the target lives;
//   - an answer that a target has given is not lost on its way;
//   - a request that is not idempotent runs at most once;
//   - no request begins to run long after its caller has left.
//
//   std::uint64_t Caller = Traffic.addRequest(Node, Idempotent, Now);
//   Traffic.recordStart(AttemptId, TargetIndex, Now);
//   Traffic.recordReply(Caller, 200, Now);
//   CPPUNIT_ASSERT(Traffic.failure().empty());
#ifndef ORIOLEDOOR_SIDECAR_TESTING_MODEL_TRAFFIC_H
#define ORIOLEDOOR_SIDECAR_TESTING_MODEL_TRAFFIC_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/sidecar/event.h"

namespace orioledoor::sidecar::testing {

inline constexpr char TrafficService[] = "plain";

// Returns the configuration of the requests, in the given version.
routing::SharedRouteTable trafficTable(std::uint64_t Version);

// Not thread-safe.
class ModelTraffic {
public:
  // Adds a request at the entry process Process and returns the event that
  // passes it on.
  CallerRequestReceived addRequest(std::uint64_t Process, bool Idempotent,
                                   Instant Now);
  // The target on this VM has begun to run the request.
  void recordStart(std::string_view AttemptId, int Vm, Instant Now);
  // Messages are held up for seconds, so answers may be late as well.
  void allowLateAnswers() { this->LateAnswersAllowed = true; }
  // A target answers the request at this time.
  void recordRunEnd(std::string_view AttemptId, Instant EndsAt);
  // The VM is lost with its entry process; requests that its target ran may end
  // in any way.
  void recordLoss(int Vm, std::uint64_t Process);
  // The caller closes its connection. Returns false if its request is not open.
  bool leave(std::uint64_t Caller, Instant Now);
  void recordReply(std::uint64_t Caller, int Status, Instant Now);
  // The process has ended; its callers get no answer any more.
  void recordExit(std::uint64_t Process, Instant Now);

  // The first violated guarantee; empty if there is none.
  const std::string &failure() const { return this->Failure; }
  std::size_t answered() const { return this->Answered; }
  // Number of requests that are open at the entry process.
  std::size_t openAt(std::uint64_t Process) const;

private:
  struct Request {
    std::uint64_t Process = 0;
    bool Idempotent = false;
    Instant SentAt;
    // VMs whose targets have begun to run the request.
    std::vector<int> RunAt;
    // When the first of them answers it.
    std::optional<Instant> RunEndsAt;
    // A target that ran it, or the entry process, was lost.
    bool VmLost = false;
    std::optional<Instant> LeftAt;
  };

  void checkLost(std::uint64_t Caller, const Request &Ended,
                 const std::string &How, Instant Now);

  // Requests without an answer, by caller, which is also their attempt id.
  std::map<std::uint64_t, Request> Requests;
  std::uint64_t NextCaller = 1;
  std::size_t Answered = 0;
  bool LateAnswersAllowed = false;
  std::string Failure;
};

} // namespace orioledoor::sidecar::testing

#endif // ORIOLEDOOR_SIDECAR_TESTING_MODEL_TRAFFIC_H
