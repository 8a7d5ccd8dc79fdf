// Simulates one seeded schedule in virtual time: three nodes, two of them with
// targets, callers, a network that loses, delays, duplicates and reorders
// messages, and slices whose ownership moves or is lost.
#ifndef ORIOLEDOOR_REQUESTS_TESTING_SIMULATION_H
#define ORIOLEDOOR_REQUESTS_TESTING_SIMULATION_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/requests/request_reducer.h"
#include "orioledoor/requests/testing/outcome_checker.h"

namespace orioledoor::requests::testing {

class Simulation;

// Routing as one node sees it; may be stale, except for the permission.
struct NodeRouting {
  const Simulation *Simulated = nullptr;
  int NodeIndex = 0;

  std::optional<ownership::Route> route(SliceRef Slice) const;
  std::optional<ownership::Gate> gate(SliceRef Slice, Instant Now) const;
  std::vector<ownership::Route> membersOf(ServiceId Service) const;
  double ownedShare(ServiceId Service) const;
  Instant permissionEnd() const;
};

class Simulation {
public:
  static constexpr std::uint32_t SliceCount = 2;
  static constexpr int NodeCount = 3;
  // Node 0 has no target and acts only as an entry node.
  static constexpr int FirstOwner = 1;

  explicit Simulation(std::uint64_t Seed);

  // Runs the schedule to its end and returns the violations.
  std::vector<std::string> run();

  const OutcomeChecker &checker() const { return this->Checker; }

private:
  friend struct NodeRouting;

  struct TargetCall {
    CallTarget Effect;
    bool Ran = false;
  };
  struct Node {
    std::unique_ptr<RequestReducer<NodeRouting>> Reducer;
    NodeRouting Routing;
    Instant PermissionEnd;
    Instant PausedUntil;
    // Disconnected from peers and guardians.
    bool Isolated = false;
    bool TargetUp = false;
    std::vector<int> BelievedOwner = std::vector<int>(SliceCount);
    // Slices that the node has adopted and not dropped.
    std::set<std::uint32_t> AdoptedSlices;
    std::map<std::uint64_t, std::shared_ptr<TargetCall>> Calls;
  };
  struct Slice {
    int Owner = FirstOwner;
    std::uint32_t FencingNumber = 1;
    bool Draining = false;
    bool Drained = false;
  };
  // An operation of a caller, which is sent again while its outcome is unknown.
  struct CallerOperation {
    std::string Name;
    std::string Method;
    std::string Key;
    std::string Body;
    std::string OperationId;
    bool SendsAttempt = true;
    bool SendsAge = true;
    Instant FirstSentAt;
    std::uint32_t Sends = 0;
  };

  std::uint64_t randomBelow(std::uint64_t Bound) {
    return this->Random() % Bound;
  }
  bool chance(int Percent) {
    return this->randomBelow(100) < static_cast<std::uint64_t>(Percent);
  }
  Duration randomDuration(Duration Max) {
    return Duration(static_cast<std::int64_t>(
        this->randomBelow(static_cast<std::uint64_t>(Max.count()) + 1)));
  }

  void scheduleAt(Instant Time, std::function<void()> Action);
  void scheduleAfter(Duration Delay, std::function<void()> Action) {
    this->scheduleAt(this->Now + Delay, std::move(Action));
  }
  // Passes Input to the node, after the end of its pause if it is paused.
  void deliver(int Destination, Event Input);
  void apply(int Source, Effect &Output);
  void transmit(int Source, const SendPeer &Message);
  void call(int NodeIndex, const CallTarget &Effect);
  void endCall(int NodeIndex, std::uint64_t CallId, Event Result);
  // Runs the operation, unless the target checks fencing numbers and rejects
  // the call.
  void execute(int NodeIndex, TargetCall &Running);
  void crashTarget(int NodeIndex);
  void checkLimits();

  void submit(const std::shared_ptr<CallerOperation> &Operation);
  void resendUnlessResolved(const std::shared_ptr<CallerOperation> &Operation,
                            std::uint64_t CallerId);

  void startMove(std::uint32_t SliceIndex);
  void handleDrained(int Source, const SliceDrained &Report);
  void completeMove(int Source, const SliceDrained &Report);
  void isolate(int NodeIndex);
  // Gives a slice of a lost node to a healthy node without its table.
  void replaceOwner(std::uint32_t SliceIndex);
  // Ends the isolation of a node. TargetRestarted means that a new target has
  // started.
  void recover(int NodeIndex, bool TargetRestarted);
  void adopt(std::uint32_t SliceIndex, int NewOwner, std::string Table,
             bool Lost);
  bool owns(int NodeIndex, std::uint32_t SliceIndex) const;

  OutcomeChecker Checker;
  std::mt19937_64 Random;
  std::shared_ptr<Catalogue> Services;
  bool ChecksFence = false;
  std::vector<Node> Nodes;
  std::vector<Slice> Slices;
  Instant Now{1'000'000};
  std::uint64_t Sequence = 0;
  using ScheduledAction =
      std::tuple<Instant, std::uint64_t, std::function<void()>>;
  struct RunsLater {
    bool operator()(const ScheduledAction &A, const ScheduledAction &B) const {
      return std::tie(std::get<0>(A), std::get<1>(A)) >
             std::tie(std::get<0>(B), std::get<1>(B));
    }
  };
  std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, RunsLater>
      EventQueue;
  std::uint64_t LastCallerId = 0;
  std::uint64_t SpendLeft = 0;
  std::uint64_t ExecutionCount = 0;
  std::vector<Instant> CallTimes;
  // Number of targets lost to the request that crashes targets, by method.
  std::map<std::string, int> Crashes;
};

} // namespace orioledoor::requests::testing

#endif // ORIOLEDOOR_REQUESTS_TESTING_SIMULATION_H
