// What nodes tell each other of the target beside them: with each answer, and
// to all when its state changes.
#ifndef ORIOLEDOOR_ROUTING_TARGET_STATUS_H
#define ORIOLEDOOR_ROUTING_TARGET_STATUS_H

#include <cstdint>
#include <string>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/routing/target_ref.h"
#include "orioledoor/routing/work_times.h"

namespace orioledoor::routing {

enum class TargetState : std::uint8_t {
  // No target has reported, or it ended.
  Absent,
  Ready,
  // Leaves soon; gets no new work.
  Leaving,
};

struct TargetStatus {
  // The process that states it; another one's numbers are not comparable.
  std::uint64_t Process = 0;
  // Grows with each status of one process; late ones are ignored.
  std::uint64_t Sequence = 0;
  TargetRef Target{};
  std::string Service{};
  TargetState State = TargetState::Absent;
  std::uint32_t Slots = 1;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  // Mean time that a request of any kind holds a slot, recently.
  Duration ServiceTime{0};
  // The same by kind of work, as far as measured.
  std::vector<WorkTime> Times{};
  // Share of recent calls that the target failed, 0 to 1.
  float FailureShare = 0;
  // Bodies on their way to the VM or waiting for their turn.
  std::uint64_t LinkQueuedBytes = 0;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_STATUS_H
