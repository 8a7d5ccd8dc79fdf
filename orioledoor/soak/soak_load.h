// Load generator of the soak: sends requests at a constant rate through all
// nodes, and checks and counts their results. Some callers leave before the
// answer.
//
//   SoakLoad Load(Fleet, Checker, Seed);
//   Load.step(Now);                       // every 20 ms
//   Load.counts().Served
#ifndef ORIOLEDOOR_SOAK_SOAK_LOAD_H
#define ORIOLEDOOR_SOAK_SOAK_LOAD_H

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

#include "orioledoor/base/instant.h"

namespace orioledoor::wire {
struct HttpResult;
} // namespace orioledoor::wire

namespace orioledoor::soak {

class SoakFleet;
class SoakChecker;

// Requests by result.
struct SoakCounts {
  std::uint64_t Sent = 0;
  // Answered by a target.
  std::uint64_t Served = 0;
  // Rejected with a status which states that the request has not run.
  std::uint64_t Refused = 0;
  // Answered with any other status.
  std::uint64_t Failed = 0;
  // Ended without an answer.
  std::uint64_t Broken = 0;
  // Ended by callers that left.
  std::uint64_t Left = 0;
};

struct SoakLoadOptions {
  std::uint64_t Seed = 1;
  // No fault explains that a request which runs gets no answer.
  bool ChecksLost = false;
  // Time that callers state and wait.
  std::chrono::milliseconds RequestTimeout{1200};
  // A step is 20 ms long.
  int RequestsPerStep = 3;
};

// Not thread-safe.
class SoakLoad {
public:
  SoakLoad(SoakFleet &Fleet, SoakChecker &Checker, SoakLoadOptions Options);

  // Sends the requests of one step. Call every 20 ms.
  void step(Instant Now);
  // Resets the counts and the served keys.
  void resetCounts();
  const SoakCounts &counts() const { return this->Counts; }
  // Returns the number of sampled keys that were served since the last reset.
  std::size_t servedKeys() const { return this->ServedKeys.size(); }
  // Returns whether no request is in flight.
  bool idle() const { return this->OpenRequests.empty(); }
  void stop() { this->Stopped = true; }

private:
  struct PendingRequest {
    std::string Attempt;
    std::size_t Node = 0;
    // Index of the sampled key, or -1 if the request has no key.
    std::int64_t Key = -1;
    Instant At;
  };
  struct Departure {
    // Id of the call at the client.
    std::uint64_t Call = 0;
    std::string Attempt;
    std::size_t Node = 0;
  };

  void send(Instant Now);
  // Ends the requests whose callers leave by now.
  void letCallersLeave(Instant Now);
  // Checks a result that is not an answer of a target.
  void checkLost(const PendingRequest &Request, Instant Now);
  void onResult(const PendingRequest &Request, const wire::HttpResult &Result);

  SoakFleet &Fleet;
  SoakChecker &Checker;
  std::mt19937_64 Random;
  // Separate, so that the requests of a seed stay the same.
  std::mt19937_64 DepartureRandom;
  SoakLoadOptions Options;
  std::uint64_t LastAttempt = 0;
  std::uint64_t NextKey = 0;
  // Attempt IDs of the requests in flight.
  std::set<std::string> OpenRequests;
  // Callers that leave if they have no answer by then.
  std::multimap<Instant, Departure> Departures;
  Instant LastStepAt;
  bool Stopped = false;
  SoakCounts Counts;
  std::set<std::int64_t> ServedKeys;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_SOAK_LOAD_H
