// The believed owner of every slice, precomputed so that look-ups take
// constant time. Rebuilt when the assignment or the facts change.
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

// A slice that this node owns by the rule of ownership.
struct OwnedSlice {
  SliceRef Slice;
  // The recorded number plus this node's position in the list.
  Fence Number;
  std::size_t Position = 0;
};

// Not thread-safe.
class RoutingTable {
public:
  // Whether the recorded owner yielded the slice, as far as this node knows.
  using HasYielded = std::function<bool(SliceRef, const SliceOwner &)>;

  // Recomputes everything; linear in the number of slices and members. Returns
  // the slices that this node owns, in order.
  std::vector<OwnedSlice> rebuild(const NodeState &Node,
                                  const HasYielded &Yielded);

  // Routes one slice to a live member until the next rebuild. Logarithmic in
  // the members.
  void assign(SliceRef Slice, MemberId Owner);

  // Constant time but for the search among the services (3).
  std::optional<Route> route(SliceRef Slice) const;
  std::vector<Route> membersOf(ServiceId Service) const;
  double ownedShare(ServiceId Service) const;

private:
  struct ServiceTable {
    ServiceId Service;
    // By slice: index into Routes, or NoOwner.
    std::vector<std::uint32_t> Owners;
    // Indices of the live members of the service, into Routes.
    std::vector<std::uint32_t> Members;
    double OwnedShare = 0;
  };

  const ServiceTable *find(ServiceId Service) const;

  // One for each member of the assignment, in its order, which is by id.
  std::vector<Route> Routes;
  std::vector<ServiceTable> Services;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_ROUTING_TABLE_H
