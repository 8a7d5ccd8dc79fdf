// How long requests of each kind of work hold a slot of one target, recently.
//
// Targets run short and long work side by side, so the mean over all of it says
// more of the mix than of the target.
//
//   Times.note(workOf(Service, Route), Held, Now);
//   Duration Expected = Times.of(Work, Now);
#ifndef ORIOLEDOOR_ROUTING_WORK_TIMES_H
#define ORIOLEDOOR_ROUTING_WORK_TIMES_H

#include <cstdint>
#include <string_view>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

struct Route;

// Names the requests of one route at one service; the same on every node.
using WorkId = std::uint32_t;

WorkId workOf(std::string_view Service, const Route &Of);

struct WorkTime {
  WorkId Work = 0;
  Duration Mean{0};

  friend bool operator==(const WorkTime &, const WorkTime &) = default;
};

// Not thread-safe. All calls are linear in the kinds of work, which are few.
class WorkTimes {
public:
  void note(WorkId Work, Duration Held, Instant Now);
  // 0 if none was measured recently.
  Duration of(WorkId Work, Instant Now) const;
  std::vector<WorkTime> recent(Instant Now) const;
  // Forgets all, for a target that became another one.
  void clear() { this->Measured.clear(); }

private:
  struct Measurement {
    WorkId Work = 0;
    double MeanMicros = 0;
    std::uint32_t Samples = 0;
    Instant LastAt{};
  };

  // Invariant: at most MaxWorks, each Work once.
  std::vector<Measurement> Measured;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_WORK_TIMES_H
