// The owner of every slice as known to this node, precomputed so that lookups
// take constant time. Rebuilt when the assignment or the facts change.
//
//   RoutingTable Table;
//   Table.rebuild(Node, [&](SliceRef S, const SliceOwner &) { return ...; });
//   std::optional<Route> To = Table.route(Slice);
#ifndef ORIOLEDOOR_OWNERSHIP_ROUTING_TABLE_H
#define ORIOLEDOOR_OWNERSHIP_ROUTING_TABLE_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/ownership/routing_view.h"

namespace orioledoor::ownership {

struct NodeState;

// A slice that this node owns.
struct OwnedSlice {
  SliceRef Slice;
  // The recorded fencing number plus this node's position in the succession
  // list.
  Fence FencingNumber;
  std::size_t Position = 0;
};

// Not thread-safe.
class RoutingTable {
public:
  // Whether the recorded owner yielded the slice, as far as this node knows.
  using HasYielded = std::function<bool(SliceRef, const SliceOwner &)>;

  // Recomputes all routes and returns the slices that this node owns, in the
  // order of the assignment. Linear in the number of slices and members.
  std::vector<OwnedSlice> rebuild(const NodeState &Node,
                                  const HasYielded &Yielded);

  // Routes one slice to a live member until the next rebuild. Logarithmic in
  // the number of members.
  void assign(SliceRef Slice, MemberId Owner);

  // Constant time except for a linear search among the services (3).
  std::optional<Route> route(SliceRef Slice) const;
  std::vector<Route> membersOf(ServiceId Service) const;
  double ownedShare(ServiceId Service) const;

private:
  struct ServiceTable {
    ServiceId Service;
    // Index into Routes for each slice, or NoOwner.
    std::vector<std::uint32_t> Owners;
    // Indices into Routes of the live members of the service that are not
    // leaving.
    std::vector<std::uint32_t> Members;
    double OwnedShare = 0;
  };

  const ServiceTable *find(ServiceId Service) const;

  // One route for each member of the assignment, sorted by member id.
  std::vector<Route> Routes;
  std::vector<ServiceTable> Services;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_ROUTING_TABLE_H
