// A simulated fleet of real ownership reducers in virtual time, with message
// delays, an in-memory store, fault injection and invariant checks. For tests.
//
//   Fleet F({.Seed = 7});
//   F.startAll();
//   F.run(std::chrono::seconds(5));
//   F.crash(2);
//   CPPUNIT_ASSERT_EQUAL(std::string(), F.violation());
#ifndef ORIOLEDOOR_OWNERSHIP_TESTING_FLEET_H
#define ORIOLEDOOR_OWNERSHIP_TESTING_FLEET_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "orioledoor/ownership/ownership_reducer.h"
#include "orioledoor/ownership/testing/memory_store.h"

namespace orioledoor::ownership::testing {

struct FleetOptions {
  std::uint64_t Seed = 1;
  std::size_t Nodes = 9;
  std::uint32_t Slices = 16;
  // Probabilities in parts per thousand.
  unsigned MessageLoss = 0;
  unsigned MessageDuplication = 0;
  unsigned StoreReplyLoss = 0;
};

class Fleet {
public:
  explicit Fleet(const FleetOptions &Options);

  // Starts all processes, with a random delay of up to 60 ms before each.
  void startAll();
  void start(std::size_t Node);
  void crash(std::size_t Node);
  // Suspends the process: events that arrive are queued until it is resumed.
  void pause(std::size_t Node);
  void resume(std::size_t Node);
  void stopGracefully(std::size_t Node);
  // Drops all messages from one node to another, in one direction.
  void cutLink(std::size_t From, std::size_t To, bool Cut);
  void cutStore(std::size_t Node, bool Cut) { this->StoreCut[Node] = Cut; }
  void setStoreDown(bool Down) { this->StoreDown = Down; }
  void healCuts();
  // Ends all faults and starts the nodes that are down.
  void heal();

  void run(Duration Length);
  // Runs until Done returns true, checked every 20 ms, for at most Limit.
  // Returns the last result of Done.
  bool runUntil(const std::function<bool()> &Done, Duration Limit);

  // Whether every slice has an open gate and all running nodes agree on its
  // owner.
  bool isServed() const;
  // Whether every slice has an open gate at a running node.
  bool isOpen() const;
  std::size_t slicesOf(std::size_t Node) const;
  bool isUp(std::size_t Node) const {
    return this->Nodes[Node].Reducer != nullptr;
  }
  bool isPaused(std::size_t Node) const { return this->Nodes[Node].Paused; }
  std::string domainOf(std::size_t Node) const {
    return this->Nodes[Node].Local.FailureDomain;
  }
  std::string regionOf(std::size_t Node) const {
    return this->Nodes[Node].Local.Region;
  }
  std::size_t size() const { return this->Nodes.size(); }
  // Number of slices adopted without the deduplication table of an earlier
  // owner.
  std::size_t historyLosses() const { return this->HistoryLosses; }
  Duration now() const { return this->Now - StartOfTime; }

  // Description of the first violated invariant; empty if there is none.
  const std::string &violation() const { return this->FirstViolation; }
  // Describes the state of each node and of each slice that is not served, for
  // failure messages.
  std::string describeState() const;

private:
  struct Node {
    LocalNode Local;
    std::unique_ptr<OwnershipReducer> Reducer;
    // Incremented at each crash; events for an earlier process are dropped.
    std::uint64_t Epoch = 0;
    bool Paused = false;
    std::deque<Event> PendingEvents;
    std::optional<std::int64_t> WatchedRevision;
    // The node's clock: an offset and a rate relative to virtual time.
    std::int64_t ClockOffset = 0;
    double ClockRate = 1;
    // The adoption of each slice, until its gate opens for the first time.
    std::map<std::uint32_t, AdoptSlice> Adopted;
    std::set<std::uint32_t> Draining;
  };
  struct ScheduledEvent {
    Instant At;
    std::uint64_t Order;
    std::size_t To;
    std::uint64_t Epoch;
    Event Input;
    bool operator>(const ScheduledEvent &Other) const {
      return std::pair(this->At, this->Order) >
             std::pair(Other.At, Other.Order);
    }
  };

  Instant localTime(const Node &Candidate) const;
  void schedule(std::size_t To, Duration Delay, Event Input);
  void deliver(std::size_t To, Event Input);
  void applyEffect(std::size_t From, Effect &Action);
  void send(std::size_t From, SendPeer &Sent);
  void callStore(std::size_t From, const StoreRequest &Request);
  void deliverWatches();
  void checkInvariants(std::size_t ChangedNode);
  void checkTable(const AdoptSlice &Adopted, const std::string &Description);
  void recordViolation(const std::string &Description);
  bool happens(unsigned PerMille);
  SliceRef sliceRef(std::uint32_t Slice) const;

  FleetOptions Options;
  std::mt19937_64 Random;
  static constexpr Instant StartOfTime{1'000'000'000};
  Instant Now = StartOfTime;
  std::uint64_t Order = 0;
  std::vector<Node> Nodes;
  std::map<std::string, std::size_t> ByAddress;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>,
                      std::greater<>>
      Queue;
  MemoryStore Store;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  std::vector<bool> StoreCut;
  bool StoreDown = false;

  std::string FirstViolation;
  std::size_t HistoryLosses = 0;
  // The highest fencing number under which each slice was served, and by which
  // member.
  std::map<std::uint32_t, std::pair<Fence, MemberId>> HighestServed;
  std::uint64_t LastWrittenVersion = 0;
  std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t>
      LastHeldVersion;
};

} // namespace orioledoor::ownership::testing

#endif // ORIOLEDOOR_OWNERSHIP_TESTING_FLEET_H
