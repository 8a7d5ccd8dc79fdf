// Recognizes the request classes that only targets of one service call on
// behalf of requests that they run.
//
//   Profile.note(Class, Forward.CallerService);
//   if (Profile.isCallOfRunningWork(Class)) ...
//
// A target connects from the same address as the other callers of its VM, so an
// entry node cannot tell them apart. The node beside the called target sees the
// callers of all VMs: a class that callers use comes from VMs of all services.
#ifndef ORIOLEDOOR_ROUTING_CALLER_PROFILE_H
#define ORIOLEDOOR_ROUTING_CALLER_PROFILE_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "orioledoor/routing/class_service_times.h"

namespace orioledoor::routing {

// Not thread-safe. Linear in the number of request classes, which is bounded.
class CallerProfile {
public:
  // Records a request of this class.
  void note(RequestClassId RequestClass, std::string_view CallerService);
  // Returns whether all recent requests of the class came from VMs of one
  // service, while another class has callers at VMs of several.
  bool isCallOfRunningWork(RequestClassId RequestClass) const;

private:
  struct Caller {
    RequestClassId RequestClass = 0;
    // Hash of the service that the last request came from.
    std::uint64_t Service = 0;
    // Number of requests in a row from that service.
    std::uint32_t Run = 0;
    // A request from another service was seen before.
    bool SeveralSeen = false;
  };

  static bool hasOneCaller(const Caller &Entry);
  static bool hasSeveralCallers(const Caller &Entry);

  // Invariant: distinct request classes, the least recently noted one first.
  std::vector<Caller> Callers;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_CALLER_PROFILE_H
