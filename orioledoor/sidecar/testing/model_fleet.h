// Simulates a fleet of reducers in virtual time, with models of targets, store
// and network, under a seeded schedule of faults. Checks the guarantees on keys
// at every step:
//   - no key is held by two running targets;
//   - a key is acquired only with a token greater than all earlier ones.
//
//   ModelFleet Fleet(Seed, 6);
//   Fleet.run(std::chrono::seconds(40), /*Faults=*/true);
//   Fleet.run(std::chrono::seconds(25), /*Faults=*/false);
//   CPPUNIT_ASSERT(Fleet.failure().empty());
//
// With ModelSchedule::PlannedStops, nodes are stopped under requests instead,
// and the guarantees of model_traffic.h are checked.
#ifndef ORIOLEDOOR_SIDECAR_TESTING_MODEL_FLEET_H
#define ORIOLEDOOR_SIDECAR_TESTING_MODEL_FLEET_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "orioledoor/sidecar/reducer.h"
#include "orioledoor/sidecar/testing/model_store.h"
#include "orioledoor/sidecar/testing/model_target.h"
#include "orioledoor/sidecar/testing/model_traffic.h"

namespace orioledoor::sidecar::testing {

enum class ModelSchedule {
  // A keyed service without requests; processes, targets, the store and the
  // network fail.
  KeyFaults,
  // The same, and the store comes back from a copy that is up to three seconds
  // old. Changes of key maps are told to the other nodes.
  KeyFaultsAndRollbacks,
  // Requests for a service without keys; one to half of the nodes are stopped
  // at a time, beside changes of the configuration, a store that is down or
  // loses replies, and entries that vanish. Targets live on.
  PlannedStops,
  // The same, while VMs are lost with their targets and callers leave.
  StopsAndLosses,
  // PlannedStops, while connections between nodes fall silent in one direction
  // and are replaced once their sender notices.
  StopsAndSilence,
  // Callers leave while nodes stand still for up to two seconds, or messages to
  // them are held up for as long. No process is stopped or lost.
  Delays,
  // PlannedStops, while one of three failure domains is evacuated at times. No
  // target gets a request once its node has learned of the evacuation.
  Evacuations,
  // KeyFaults, with such evacuations.
  KeyEvacuations,
  // KeyFaults, while one report in seven arrives seconds late, and nodes
  // restart
  // beside targets whose keys are about to move.
  LateReports,
  // KeyFaultsAndRollbacks with such reports.
  LateReportsAndRollbacks,
};

// Not thread-safe. Deterministic: the same seed gives the same run.
class ModelFleet {
public:
  ModelFleet(std::uint64_t Seed, int Nodes,
             ModelSchedule Schedule = ModelSchedule::KeyFaults);

  void run(Duration RunTime, bool Faults);
  // The operator evacuates the failure domain of every third VM from this one
  // on, or ends the evacuation.
  void evacuate(int VmIndex);
  void endEvacuation();

  ModelStore &store() { return this->Store; }
  // The store is away for Time and comes back from the copy that was taken
  // last.
  void rollBackStore(Duration Time);
  // All node processes end, and start again after Time; with Targets, the
  // targets too.
  void restartAll(Duration Time, bool Targets);
  void restartNode(int Index);
  // The VM is lost with its target for Time.
  void loseVmFor(int Index, Duration Time) {
    this->loseVm(*this->Vms[static_cast<std::size_t>(Index)], Time);
  }
  // All nodes tell of a demand that is ten times as high at one target.
  void reportHotKeys(int Index);
  // Returns the node of a VM; null while its process is down.
  const SidecarReducer *node(int Index) const {
    return this->Vms[static_cast<std::size_t>(Index)]->Reducer.get();
  }
  // Delivers an event to the node of a VM.
  void deliverTo(int Index, Event NewEvent) {
    this->deliver(*this->Vms[static_cast<std::size_t>(Index)],
                  std::move(NewEvent));
  }
  // Cuts a VM off from the store and the others for Time.
  void cutOff(int Index, Duration Time) {
    Vm &Machine = *this->Vms[static_cast<std::size_t>(Index)];
    Machine.StoreCutUntil = Machine.PeerCutUntil = this->Now + Time;
  }
  // Returns the instances of the targets that hold the sampled keys, in the
  // order of the keys; empty for a key without a holder.
  std::vector<std::string> holders() const;

  // The first violated guarantee; empty if there is none.
  const std::string &failure() const { return this->Failure; }
  // Returns the number of sampled keys that no target holds.
  int unheldKeys() const;
  // Returns the number of sampled keys that targets in the evacuated failure
  // domain hold.
  int evacuatedKeys() const;
  // Returns the number of times a sampled key was acquired by a target other
  // than its previous holder.
  int moves() const { return this->Moves; }
  const ModelTraffic &traffic() const { return this->Traffic; }
  // Returns the number of requests that were open at nodes when those were told
  // to stop.
  std::size_t openAtStops() const { return this->OpenAtStops; }
  // Injected faults and logged events, for the report of a failure.
  const std::vector<std::string> &history() const { return this->History; }

private:
  struct Vm {
    int Index = 0;
    std::string Node;
    std::uint64_t Process = 0;
    // Null while the process is down.
    std::unique_ptr<SidecarReducer> Reducer;
    std::unique_ptr<ModelTarget> Target;
    Instant NodeUpAt;
    Instant TargetUpAt;
    Instant FrozenUntil;
    // The VM is lost, and the others do not know it yet.
    Instant SilentUntil;
    Instant StoreCutUntil;
    Instant PeerCutUntil;
    // Messages to the VM arrive at this time at the earliest, in order.
    Instant MessagesHeldUntil;
    Instant ReportsCutUntil;
    Instant NextReport;
    // All reports of the target are late until this time.
    Instant ReportsLateUntil;
    // The node's process is killed at this time.
    std::optional<Instant> KillAt;
    std::uint64_t ReportId = 0;
    // Events that are delivered when the frozen process continues.
    std::vector<Event> DelayedEvents;
    std::int64_t WatchAfter = -1;
    std::int64_t OperatorWatchAfter = -1;
    // Time since which the node could learn of the present evacuation of its
    // failure domain, and whether it has.
    Instant MayLearnSince;
    bool KnowsEvacuation = false;
    Instant NextTick;
    // The process was told to stop, and has asked to end.
    bool Stopping = false;
    bool ExitDue = false;
  };
  // An event to be delivered to a process at a later time.
  struct ScheduledEvent {
    int To = 0;
    std::uint64_t Process = 0;
    Event Payload;
  };
  // A connection that has fallen silent and is replaced at Until.
  struct SilentConnection {
    Instant Until;
    std::size_t LostMessages = 0;
  };
  // A report that arrives after its target has given up on it.
  struct LateReport {
    int To = 0;
    routing::TargetReport Report;
  };
  // A caller that will leave.
  struct Departure {
    int VmIndex = 0;
    std::uint64_t Process = 0;
    std::uint64_t Caller = 0;
  };
  // A store request in transit.
  struct StoreCall {
    int From = 0;
    std::uint64_t Process = 0;
    StoreRequest Request;
    bool ReplyLost = false;
    // The call is a read of the operator's keys.
    bool IsConfigRead = false;
  };

  void step(bool Faults);
  void startNode(Vm &Machine);
  void startTarget(Vm &Machine);
  void deliver(Vm &To, Event NewEvent);
  void execute(Vm &From, Effects NewEffects);
  void callStore(Vm &From, StoreRequest Request, bool IsConfigRead = false);
  bool reachesStore(const Vm &Machine) const {
    return this->Now >= this->StoreDownUntil &&
           this->Now >= Machine.StoreCutUntil;
  }
  void serveOperatorWatch(Vm &Machine);
  void updateEvacuationKnowledge();
  bool isEvacuated(const Vm &Machine) const {
    return this->EvacuatedDomain == Machine.Index % 3;
  }
  bool hasEvacuations() const {
    return this->Schedule == ModelSchedule::Evacuations ||
           this->Schedule == ModelSchedule::KeyEvacuations;
  }
  void serveStore();
  void report(Vm &Machine, bool Faults);
  // Lets keys of the VM's target move, and its node restart meanwhile.
  void restartBesideMove(Vm &Machine);
  // Kills the node's process at its KillAt.
  void killWhenDue(Vm &Machine);
  // Delivers the late reports that are due, to whatever process runs by now.
  void deliverLateReports();
  void answerReport(Vm &Machine, const ReplyToReport &Answer);
  void injectFault();
  void injectFaultBesideStops();
  void injectDelay();
  // Lets a connection between two nodes fall silent.
  void silenceConnection();
  // Replaces the silent connections that their senders have noticed.
  void replaceConnections();
  // Number of messages of the VM that are lost on silent connections.
  std::size_t undeliveredMessages(const Vm &Machine) const;
  void loseVm(Vm &Machine, Duration Time);
  // Tells the others, after Delay, that their connections to the VM are lost.
  void loseConnections(const Vm &Machine, Duration Delay);
  void stopNodes();
  void endProcess(Vm &Machine);
  void sendRequests();
  void letCallersLeave();
  void sendMessage(Vm &From, const SendMessage &Message);
  // The target runs the request of the call for a while and answers it.
  void startRun(const Vm &Machine, const StartCall &Call);
  void checkHolders();
  void recordHistory(std::string Line);
  Duration randomDuration(int Millis) {
    return std::chrono::milliseconds(this->Random() %
                                     static_cast<std::uint64_t>(Millis));
  }
  // Returns whether the schedule is one of keys without requests.
  bool isKeyed() const {
    return this->Schedule == ModelSchedule::KeyFaults ||
           this->Schedule == ModelSchedule::KeyEvacuations ||
           this->rollsBack() || this->hasLateReports();
  }
  // Returns whether the store comes back from older copies.
  bool rollsBack() const {
    return this->Schedule == ModelSchedule::KeyFaultsAndRollbacks ||
           this->Schedule == ModelSchedule::LateReportsAndRollbacks;
  }
  bool hasLateReports() const {
    return this->Schedule == ModelSchedule::LateReports ||
           this->Schedule == ModelSchedule::LateReportsAndRollbacks;
  }
  bool randomChance(int Percent) {
    return this->Random() % 100 < static_cast<std::uint64_t>(Percent);
  }

  std::mt19937_64 Random;
  ModelSchedule Schedule;
  ModelTraffic Traffic;
  std::size_t OpenAtStops = 0;
  Instant Now{std::int64_t{1'000'000}};
  ModelStore Store;
  std::vector<std::unique_ptr<Vm>> Vms;
  std::multimap<Instant, ScheduledEvent> ScheduledEvents;
  std::multimap<Instant, StoreCall> StoreCalls;
  std::multimap<Instant, Departure> Departures;
  std::multimap<Instant, LateReport> LateReports;
  // By the indices of sender and recipient.
  std::map<std::pair<int, int>, SilentConnection> SilentConnections;
  Instant StoreDownUntil;
  // -1 if no failure domain is evacuated.
  int EvacuatedDomain = -1;
  // The store comes back from its copy at StoreDownUntil.
  bool RollBackDue = false;
  Instant NextCopyAt;
  bool LeasesPaused = false;
  Instant RepliesLostUntil;
  std::uint64_t NextProcess = 1;
  std::int64_t NextBorn = 1000;
  routing::SharedRouteTable Table;
  // Highest token with which each sampled key was acquired.
  std::map<std::uint32_t, std::int64_t> Fences;
  // Target that acquired the sampled key last.
  std::map<std::uint32_t, std::string> LastHolder;
  int Moves = 0;
  std::string Failure;
  std::vector<std::string> History;
};

} // namespace orioledoor::sidecar::testing

#endif // ORIOLEDOOR_SIDECAR_TESTING_MODEL_FLEET_H
