// What the coordinator knows about load, from the members' reports.
//
// Rates are smoothed, so that one late or wrong report moves no slice.
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

// Not thread-safe. Look-ups are constant or logarithmic in the members.
class LoadModel {
public:
  void add(const LoadReport &Report, Instant Now);

  // Requests per second of Slice, one of SlicesOfOwner slices that Owner
  // holds. Slices that Owner did not name share the rest of its rate.
  double sliceRate(SliceRef Slice, MemberId Owner,
                   std::size_t SlicesOfOwner) const;

  // When Member last reported; nothing if it never did.
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
