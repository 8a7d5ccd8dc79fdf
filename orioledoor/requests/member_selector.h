// Selects a member for an idempotent request to a service that is not divided
// by key: the less loaded of two random candidates (Mitzenmacher: The power of
// two choices in randomized load balancing, 2001).
#ifndef ORIOLEDOOR_REQUESTS_MEMBER_SELECTOR_H
#define ORIOLEDOOR_REQUESTS_MEMBER_SELECTOR_H

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/routing_view.h"

namespace orioledoor::requests {

// Not thread-safe.
class MemberSelector {
public:
  // Returns whether the members of Service were updated less than 20 ms before
  // Now.
  bool isFresh(ServiceId Service, Instant Now) const;

  // Replaces the cached members of Service. Linear in their number.
  void update(ServiceId Service, std::vector<ownership::Route> Members,
              Instant Now);

  // Selects among the members of this node's region, or among all members if
  // the region has none or AnyRegion is set. Returns null if the service has no
  // members. Random supplies both candidates. The result is valid until the
  // next update. Constant.
  const ownership::Route *choose(ServiceId Service, std::uint64_t Random,
                                 bool AnyRegion) const;

  // Track the number of open tries of a member.
  void tryStarted(MemberId Member) { ++this->OpenTries[Member]; }
  void tryEnded(MemberId Member);

private:
  struct ServiceMembers {
    // Members of this node's region come first.
    std::vector<ownership::Route> Members;
    std::size_t SameRegionCount = 0;
    Instant UpdatedAt;
  };

  std::uint32_t loadOf(const ownership::Route &Member) const;

  std::unordered_map<ServiceId, ServiceMembers> Services;
  std::unordered_map<MemberId, std::uint32_t> OpenTries;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_MEMBER_SELECTOR_H
