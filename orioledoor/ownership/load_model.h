// The load of the fleet as known to the coordinator from the members' reports.
//
// Rates are smoothed, so that a single late or wrong report does not move
// slices.
//
//   LoadModel Loads;
//   Loads.add(Report, Now);
//   double Rate = Loads.sliceRate(Slice, Owner, SlicesOfOwner);
#ifndef ORIOLEDOOR_OWNERSHIP_LOAD_MODEL_H
#define ORIOLEDOOR_OWNERSHIP_LOAD_MODEL_H

#include <map>
#include <optional>
#include <unordered_map>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/message.h"

namespace orioledoor::ownership {

// Not thread-safe. Lookups are logarithmic in the number of members.
class LoadModel {
public:
  void add(const LoadReport &Report, Instant Now);

  // Returns the requests per second of Slice, one of the SlicesOfOwner slices
  // that Owner holds. Slices that Owner did not report individually share the
  // rest of its rate equally.
  double sliceRate(SliceRef Slice, MemberId Owner,
                   std::size_t SlicesOfOwner) const;

  // Returns when Member last reported, or nullopt if it never did.
  std::optional<Instant> lastHeard(MemberId Member) const;

  void forget(MemberId Member) { this->LoadByMember.erase(Member); }

private:
  struct MemberLoad {
    Instant At;
    double Total = 0;
    // Sum of Busiest.
    double ReportedTotal = 0;
    std::unordered_map<SliceRef, double> Busiest;
  };
  std::map<MemberId, MemberLoad> LoadByMember;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_LOAD_MODEL_H
