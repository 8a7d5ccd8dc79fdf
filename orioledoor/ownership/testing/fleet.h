// A fleet of real ownership reducers in virtual time: messages with delays, an
// in-memory store, faults, and a checker of what must always hold. For tests.
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
  // Parts of a thousand.
  unsigned MessageLoss = 0;
  unsigned MessageDuplication = 0;
  unsigned StoreReplyLoss = 0;
};

class Fleet {
public:
  explicit Fleet(const FleetOptions &Options);

  // Starts every process within half a second.
  void startAll();
  void start(std::size_t Node);
  void crash(std::size_t Node);
  // Handles nothing until resumed; what arrives waits.
  void pause(std::size_t Node);
  void resume(std::size_t Node);
  void stopGracefully(std::size_t Node);
  // Messages from one node to another are lost, one way.
  void cutLink(std::size_t From, std::size_t To, bool Cut);
  void cutStore(std::size_t Node, bool Cut) { this->StoreCut[Node] = Cut; }
  void setStoreDown(bool Down) { this->StoreDown = Down; }
  void healCuts();
  // Ends all faults and starts what is down.
  void heal();

  void run(Duration For);
  // Whether Done held within Limit; looks every 20 ms.
  bool runUntil(const std::function<bool()> &Done, Duration Limit);

  // Every slice has exactly one open gate, and all agree on its owner.
  bool isServed() const;
  // Some node has an open gate for every slice.
  bool isOpen() const;
  std::size_t slicesOf(std::size_t Node) const;
  bool isUp(std::size_t Node) const {
    return this->Nodes[Node].Running != nullptr;
  }
  bool isPaused(std::size_t Node) const { return this->Nodes[Node].Paused; }
  std::string domainOf(std::size_t Node) const {
    return this->Nodes[Node].Local.FailureDomain;
  }
  std::string regionOf(std::size_t Node) const {
    return this->Nodes[Node].Local.Region;
  }
  std::size_t size() const { return this->Nodes.size(); }
  // Slices adopted although an earlier owner's table was lost.
  std::size_t historyLosses() const { return this->HistoryLosses; }
  Duration now() const { return this->Now - StartOfTime; }

  // The first thing that went wrong; empty if nothing did.
  const std::string &violation() const { return this->FirstViolation; }
  // One line a node, for a report of a failure.
  std::string describeState() const;

private:
  struct Node {
    LocalNode Local;
    std::unique_ptr<OwnershipReducer> Running;
    // Rises with each start; events of an earlier process are dropped.
    std::uint64_t Epoch = 0;
    bool Paused = false;
    std::deque<Event> PendingEvents;
    std::optional<std::int64_t> WatchedRevision;
    // The node's clock: an offset and a rate.
    std::int64_t Offset = 0;
    double Rate = 1;
    // What was adopted with each slice, until its gate first opens.
    std::map<std::uint32_t, AdoptSlice> Adopted;
    std::set<std::uint32_t> Draining;
  };
  struct ScheduledEvent {
    Instant At;
    std::uint64_t Order;
    std::size_t To;
    std::uint64_t Epoch;
    Event What;
    bool operator>(const ScheduledEvent &Other) const {
      return std::pair(this->At, this->Order) >
             std::pair(Other.At, Other.Order);
    }
  };

  Instant localTime(const Node &Candidate) const;
  void schedule(std::size_t To, Duration After, Event What);
  void deliver(std::size_t To, Event What);
  void applyEffect(std::size_t From, Effect &Wanted);
  void send(std::size_t From, SendPeer &Sent);
  void callStore(std::size_t From, const StoreRequest &Request);
  void deliverWatches();
  void checkInvariants(std::size_t ChangedNode);
  void checkTable(const AdoptSlice &Adopted, const std::string &What);
  void recordViolation(const std::string &What);
  bool happens(unsigned PartsOfThousand);
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
  // The highest number under which each slice was served, and by whom.
  std::map<std::uint32_t, std::pair<Fence, MemberId>> HighestServed;
  std::uint64_t LastWrittenVersion = 0;
  std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t>
      LastHeldVersion;
};

} // namespace orioledoor::ownership::testing

#endif // ORIOLEDOOR_OWNERSHIP_TESTING_FLEET_H
