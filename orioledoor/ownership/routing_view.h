// The interface through which the request reducer queries slice ownership.
//
// RoutingView is a concept, so that tests of the request path can replace the
// ownership reducer by a fixed table.
#ifndef ORIOLEDOOR_OWNERSHIP_ROUTING_VIEW_H
#define ORIOLEDOOR_OWNERSHIP_ROUTING_VIEW_H

#include <concepts>
#include <optional>
#include <string>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"

namespace orioledoor::ownership {

// The destination of requests for a slice.
struct Route {
  MemberId Owner;
  // The owner's peer address, "tcp://IP:PORT".
  std::string Address;
  // Whether this node is the owner.
  bool Local = false;
  bool SameRegion = false;
};

// The right to run work of a slice at the local target.
struct Gate {
  Fence FencingNumber;
  // Work must end before this time, which is never later than the end of the
  // node's permission.
  Instant ValidUntil;
};

template <typename T>
concept RoutingView =
    requires(const T &View, SliceRef Slice, ServiceId Service, Instant Now) {
      // The owner as known to this node; nullopt if the slice has none.
      { View.route(Slice) } -> std::same_as<std::optional<Route>>;
      // Returns nullopt unless this node owns the slice and holds a permission
      // at Now.
      { View.gate(Slice, Now) } -> std::same_as<std::optional<Gate>>;
      // All live members that serve Service and are not leaving, for services
      // that are not divided by key.
      { View.membersOf(Service) } -> std::same_as<std::vector<Route>>;
      // The fraction of the service's slices that this node owns, from 0 to 1.
      { View.ownedShare(Service) } -> std::same_as<double>;
      // The latest end among the node's effective permissions.
      { View.permissionEnd() } -> std::same_as<Instant>;
    };

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_ROUTING_VIEW_H
