// Callers of the soak: requests at a steady rate through all nodes, and what
// became of them.
//
//   SoakLoad Load(Fleet, Judge, Seed);
//   Load.step(Now);                       // every 20 ms
//   Load.counts().Served
#ifndef ORIOLEDOOR_SOAK_SOAK_LOAD_H
#define ORIOLEDOOR_SOAK_SOAK_LOAD_H

#include <cstdint>
#include <random>
#include <set>
#include <string>

#include "orioledoor/base/instant.h"

namespace orioledoor::wire {
struct HttpResult;
} // namespace orioledoor::wire

namespace orioledoor::soak {

class SoakFleet;
class SoakJudge;

struct SoakCounts {
  std::uint64_t Sent = 0;
  std::uint64_t Served = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Broken = 0;
};

// Not thread-safe.
class SoakLoad {
public:
  SoakLoad(SoakFleet &Fleet, SoakJudge &Judge, std::uint64_t Seed);

  void step(Instant Now);
  // Starts to count anew.
  void reset();
  const SoakCounts &counts() const { return this->Counts; }
  // Sampled keys that were served since the last reset.
  std::size_t servedKeys() const { return this->KeysServed.size(); }
  bool idle() const { return this->Open == 0; }
  void stop() { this->Stopped = true; }

private:
  struct Sent {
    std::string Attempt;
    std::size_t Node = 0;
    // The sampled key, or none.
    std::int64_t Key = -1;
    Instant At;
  };

  void send(Instant Now);
  void ended(const Sent &Of, const wire::HttpResult &Result);

  SoakFleet &Fleet;
  SoakJudge &Judge;
  std::mt19937_64 Random;
  std::uint64_t Prefix;
  std::uint64_t Last = 0;
  std::uint64_t LastKey = 0;
  std::uint64_t Open = 0;
  bool Stopped = false;
  SoakCounts Counts;
  std::set<std::int64_t> KeysServed;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_SOAK_LOAD_H
