// Status of a target that its node sends to other nodes: with each result, and
// to all nodes when the state changes.
#ifndef ORIOLEDOOR_ROUTING_TARGET_STATUS_H
#define ORIOLEDOOR_ROUTING_TARGET_STATUS_H

#include <cstdint>
#include <string>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/routing/class_service_times.h"
#include "orioledoor/routing/target_ref.h"

namespace orioledoor::routing {

enum class TargetState : std::uint8_t {
  // No target has reported, or it has ended.
  Absent,
  Ready,
  // About to stop; gets no new requests.
  Leaving,
  // Alive, but its failure domain is evacuated: it gets no new requests until
  // the evacuation ends.
  Evacuated,
};

struct TargetStatus {
  // Id of the sending process. Sequence numbers of different processes are not
  // comparable.
  std::uint64_t Process = 0;
  // Increases with each status of one process; lower numbers are stale.
  std::uint64_t Sequence = 0;
  TargetRef Target{};
  std::string Service{};
  TargetState State = TargetState::Absent;
  std::uint32_t Slots = 1;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  // Moving average of the time that a request of any class holds a slot.
  Duration ServiceTime{0};
  // The same by request class, for recently measured classes, at the target's
  // mean slowdown.
  std::vector<ClassServiceTime> Times{};
  // Share of recent calls that failed at the target, 0 to 1.
  float FailureShare = 0;
  // Bytes of request bodies that are in flight to the VM or waiting to be
  // requested.
  std::uint64_t LinkQueuedBytes = 0;
  // Mean interval between requests that the target's rate limit allows, and
  // the time until another request may start; 0 without a limit.
  Duration StartInterval{0};
  Duration StartWait{0};
  // How long work takes at the target at the moment, in percent of Times, and
  // the age of that figure; 0 if the target does not state it.
  std::uint32_t SlowdownPercent = 0;
  Duration SlowdownAge{0};
  // Bytes of answers that the node expects to send to other nodes over its link
  // or has not sent yet.
  std::uint64_t AnswerQueuedBytes = 0;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_STATUS_H
