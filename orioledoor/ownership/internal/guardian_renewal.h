// Decides when guardians that released a live member may be named again. Part
// of Coordinator.
#ifndef ORIOLEDOOR_OWNERSHIP_INTERNAL_GUARDIAN_RENEWAL_H
#define ORIOLEDOOR_OWNERSHIP_INTERNAL_GUARDIAN_RENEWAL_H

#include <map>
#include <set>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/assignment_planner.h"

namespace orioledoor::ownership::internal {

// A guardian and a member that still cannot communicate would lead to another
// release immediately, so each pair is retried with exponential backoff. Not
// thread-safe. Deterministic.
class GuardianRenewal {
public:
  // Returns the pairs to retry now. Linear in the number of known releases.
  std::set<RequiredConsent> renewablePairs(const Assignment &Current,
                                           const FactSet &Known,
                                           const LoadModel &Loads, Instant Now);

  // Records that the pairs were named again in a written version.
  void recordRenewals(const std::set<RequiredConsent> &Pairs, Instant Now);

  // Records that the pairs in Requested but not in Received did not consent in
  // time.
  void recordTimeouts(const std::set<RequiredConsent> &Requested,
                      const std::set<RequiredConsent> &Received, Instant Now);

private:
  struct Backoff {
    Instant Until;
    Duration Length{0};
  };
  void increaseBackoff(const RequiredConsent &Pair, Instant Now);

  std::map<RequiredConsent, Backoff> Backoffs;
};

} // namespace orioledoor::ownership::internal

#endif // ORIOLEDOOR_OWNERSHIP_INTERNAL_GUARDIAN_RENEWAL_H
