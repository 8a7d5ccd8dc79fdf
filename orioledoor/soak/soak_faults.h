// Draws faults from a seed and carries them out on a fleet; they come in series
// and overlap.
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
struct SoakNode;

// Not thread-safe.
class SoakFaults {
public:
  SoakFaults(standins::Loop &Events, SoakFleet &Fleet, std::uint64_t Seed);

  void step(Instant Now);
  void stop() { this->Stopped = true; }
  // What was done, one line each with the seconds since the start.
  const std::vector<std::string> &history() const { return this->Done; }

private:
  using Duty = std::function<void()>;

  void signalNode(SoakNode &Node, Instant Now);
  void disturbLink(SoakNode &Node, Instant Now);
  void disturbTarget(SoakNode &Node, Instant Now);
  void disturbStore(Instant Now);
  // Undoes a fault when Time has passed.
  void later(Duration Time, Duty Undo);
  // Notes the fault and that Node is disturbed for Time and some recovery.
  void record(SoakNode *Node, const std::string &What, Duration Time,
              Instant Now);
  Duration between(int FromMillis, int ToMillis);

  standins::Loop &Events;
  SoakFleet &Fleet;
  std::mt19937_64 Random;
  Instant StartedAt;
  Instant NextAt;
  bool Stopped = false;
  std::vector<std::string> Done;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_SOAK_FAULTS_H
