// What the request reducer asks of ownership.
//
// RoutingView is a concept, so that tests of the request path put a fixed
// table in place of the ownership reducer.
#ifndef ORIOLEDOOR_OWNERSHIP_ROUTING_VIEW_H
#define ORIOLEDOOR_OWNERSHIP_ROUTING_VIEW_H

#include <concepts>
#include <optional>
#include <string>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"

namespace orioledoor::ownership {

// Where requests of a slice go.
struct Route {
  MemberId Owner;
  // The owner's peer address, "tcp://IP:PORT".
  std::string Address;
  // This node is the owner.
  bool Local = false;
  bool SameRegion = false;
};

// The right to run work of a slice at this node's target.
struct Gate {
  Fence Number;
  // Work must end before; never later than the node's permission.
  Instant ValidUntil;
};

template <typename T>
concept RoutingView =
    requires(const T &View, SliceRef Slice, ServiceId Service, Instant Now) {
      // The believed owner; empty if the slice has none.
      { View.route(Slice) } -> std::same_as<std::optional<Route>>;
      // Empty unless this node owns the slice and holds a permission at Now.
      { View.gate(Slice, Now) } -> std::same_as<std::optional<Gate>>;
      // All members that serve Service, for services not divided by key.
      { View.membersOf(Service) } -> std::same_as<std::vector<Route>>;
      // The part of the service's slices that this node owns, 0 to 1.
      { View.ownedShare(Service) } -> std::same_as<double>;
      // The end of the permission that lasts longest.
      { View.permissionEnd() } -> std::same_as<Instant>;
    };

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_ROUTING_VIEW_H
