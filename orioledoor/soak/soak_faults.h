// Injects random faults, which a seed determines, into a fleet. Faults may
// overlap.
//
//   SoakFaults Faults(Events, Fleet, Seed);
//   Faults.step(Now);      // every 20 ms
//   Faults.stop();
#ifndef ORIOLEDOOR_SOAK_SOAK_FAULTS_H
#define ORIOLEDOOR_SOAK_SOAK_FAULTS_H

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::standins {
class Loop;
class RelayLink;
} // namespace orioledoor::standins

namespace orioledoor::soak {

class SoakFleet;
struct FaultSetting;
struct SoakNode;

enum class SoakFaultKinds {
  All,
  // Planned stops of several nodes at once, changes of the configuration, and a
  // store that is down, slow or loses answers. No request may be cut off.
  PlannedStops,
  // VMs that change their service beside crashes of targets and faults of the
  // store. Requests must bear the service of the settings.
  ServiceChanges,
  // Planned stops of several nodes at once and changes of the configuration,
  // while connections between nodes fall silent, break or stand still. No
  // request may be cut off.
  PeerLinks,
  // Nodes that are killed and start again at once, beside targets that leave
  // and reports that are seconds late.
  LateReports,
};

// Not thread-safe.
class SoakFaults {
public:
  SoakFaults(standins::Loop &Events, SoakFleet &Fleet, std::uint64_t Seed,
             SoakFaultKinds Kinds);

  // Injects the next fault when it is due.
  void step(Instant Now);
  void stop() { this->Stopped = true; }
  // Returns the injected faults, one line each with the seconds since the
  // start.
  const std::vector<std::string> &history() const { return this->History; }

private:
  using Callback = std::function<void()>;

  void signalNode(SoakNode &Node, Instant Now);
  void stopNode(SoakNode &Node, Instant Now);
  // Makes the VM of a node one of the other service, whose target starts later.
  // Half of the changes are announced by SIGHUP.
  void changeService(std::size_t Index, Instant Now);
  // Stops one to half of the nodes at the same moment.
  void stopSeveralNodes(Instant Now);
  // Makes the store unusable, slow, or lose answers, for longer than a lease
  // lasts or shorter.
  void disturbStore(Instant Now);
  void startStoreFault(const FaultSetting &Fault, Duration Time, Instant Now);
  void injectLinkFault(SoakNode &Node, Instant Now);
  // Lets the open connections of other nodes to Node fall silent or break, or
  // holds what they carry.
  void injectPeerLinkFault(SoakNode &Node, Instant Now);
  void injectTargetFault(SoakNode &Node, Instant Now);
  void injectStoreFault(Instant Now);
  // Lets a target leave shortly before or after its node restarts.
  void restartBesideDeparture(SoakNode &Node);
  void killNode(SoakNode &Node, Duration Time, Instant Now);
  // Runs Undo, which reverts a fault, after Time.
  void runAfter(Duration Time, Callback Undo);
  // Adds the fault to the history and marks the nodes as disturbed for Time
  // plus the recovery time. Node is null for faults of the store.
  void recordFault(SoakNode *Node, const std::string &Description,
                   Duration Time, Instant Now);
  // Returns a uniformly distributed random duration.
  Duration randomDuration(int FromMillis, int ToMillis);

  standins::Loop &Events;
  SoakFleet &Fleet;
  std::mt19937_64 Random;
  SoakFaultKinds Kinds;
  Instant StartedAt;
  Instant NextFaultAt;
  bool Stopped = false;
  std::vector<std::string> History;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_SOAK_FAULTS_H
