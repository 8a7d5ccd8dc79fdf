// A fleet of reducers in virtual time, with modelled targets, store and
// network, under a seeded schedule of faults. Checks the promises on keys at
// every step:
//   - no key is held by two targets that are up;
//   - a key is taken only with a token above all earlier ones.
//
//   ModelFleet Fleet(Seed, 6);
//   Fleet.run(std::chrono::seconds(40), /*Faults=*/true);
//   Fleet.run(std::chrono::seconds(25), /*Faults=*/false);
//   CPPUNIT_ASSERT(Fleet.failure().empty());
#ifndef ORIOLEDOOR_SIDECAR_TESTING_MODEL_FLEET_H
#define ORIOLEDOOR_SIDECAR_TESTING_MODEL_FLEET_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "orioledoor/sidecar/reducer.h"
#include "orioledoor/sidecar/testing/model_store.h"
#include "orioledoor/sidecar/testing/model_target.h"

namespace orioledoor::sidecar::testing {

// Not thread-safe. The same seed gives the same run.
class ModelFleet {
public:
  ModelFleet(std::uint64_t Seed, int Nodes);

  void run(Duration For, bool Faults);

  // The first broken promise; empty if there is none.
  const std::string &failure() const { return this->Failure; }
  // Sampled keys that no target holds.
  int unheldKeys() const;
  // Grants of keys that had another holder before.
  int moves() const { return this->Moves; }
  // What was done to the fleet, for the report of a failure.
  const std::vector<std::string> &history() const { return this->History; }

private:
  struct Vm {
    int Index = 0;
    std::string Node;
    std::uint64_t Process = 0;
    // Empty while the process is down.
    std::unique_ptr<SidecarReducer> Reducer;
    std::unique_ptr<ModelTarget> Target;
    Instant NodeUpAt;
    Instant TargetUpAt;
    Instant FrozenUntil;
    Instant StoreCutUntil;
    Instant PeerCutUntil;
    Instant ReportsCutUntil;
    Instant NextReport;
    std::uint64_t ReportId = 0;
    // Events that wait for a frozen process.
    std::vector<Event> Waiting;
    std::int64_t WatchAfter = -1;
    Instant NextTick;
  };
  // Something that happens later.
  struct Later {
    int To = 0;
    std::uint64_t Process = 0;
    Event Happens;
  };
  // A store request on its way.
  struct Call {
    int From = 0;
    std::uint64_t Process = 0;
    StoreRequest Request;
    bool ReplyLost = false;
  };

  void step(bool Faults);
  void startNode(Vm &Of);
  void startTarget(Vm &Of);
  void deliver(Vm &To, Event Happened);
  void carryOut(Vm &From, Effects Asked);
  void callStore(Vm &From, StoreRequest Request);
  void serveStore();
  void report(Vm &Of);
  void answerReport(Vm &Of, const ReplyToReport &Answer);
  void injectFault();
  void checkHolders();
  void note(std::string What);
  Duration upTo(int Millis) {
    return std::chrono::milliseconds(this->Random() %
                                     static_cast<std::uint64_t>(Millis));
  }
  bool chance(int Percent) {
    return this->Random() % 100 < static_cast<std::uint64_t>(Percent);
  }

  std::mt19937_64 Random;
  Instant Now{std::int64_t{1'000'000}};
  ModelStore Store;
  std::vector<std::unique_ptr<Vm>> Vms;
  std::multimap<Instant, Later> Pending;
  std::multimap<Instant, Call> Calls;
  Instant StoreDownUntil;
  bool LeasesPaused = false;
  Instant RepliesLostUntil;
  std::uint64_t NextProcess = 1;
  std::int64_t NextBorn = 1000;
  routing::SharedTable Table;
  // Highest token with which each sampled key was taken.
  std::map<std::uint32_t, std::int64_t> Fences;
  // Target that took the sampled key last.
  std::map<std::uint32_t, std::string> LastHolder;
  int Moves = 0;
  std::string Failure;
  std::vector<std::string> History;
};

} // namespace orioledoor::sidecar::testing

#endif // ORIOLEDOOR_SIDECAR_TESTING_MODEL_FLEET_H
