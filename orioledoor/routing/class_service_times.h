// Moving average of the time that requests hold a slot of one target, by
// request class.
//
// Targets run short and long requests side by side, so an average over all of
// them depends more on their mix than on the speed of the target.
//
//   Times.note(requestClassOf(Service, Route), HoldTime, Now);
//   Duration Expected = Times.meanOf(Class, Now);
#ifndef ORIOLEDOOR_ROUTING_CLASS_SERVICE_TIMES_H
#define ORIOLEDOOR_ROUTING_CLASS_SERVICE_TIMES_H

#include <cstdint>
#include <string_view>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

struct Route;

// Identifies the requests of one route at one service; the same on every node.
using RequestClassId = std::uint32_t;

RequestClassId requestClassOf(std::string_view Service, const Route &Matched);

struct ClassServiceTime {
  RequestClassId RequestClass = 0;
  Duration Mean{0};

  friend bool operator==(const ClassServiceTime &,
                         const ClassServiceTime &) = default;
};

// Not thread-safe. All operations are linear in the number of request classes,
// which is small.
class ClassServiceTimes {
public:
  void note(RequestClassId RequestClass, Duration HoldTime, Instant Now);
  // Returns 0 if there is no recent measurement.
  Duration meanOf(RequestClassId RequestClass, Instant Now) const;
  std::vector<ClassServiceTime> recent(Instant Now) const;
  // Discards all measurements, for example when the target was replaced.
  void clear() { this->Measured.clear(); }

private:
  struct Measurement {
    RequestClassId RequestClass = 0;
    double MeanMicros = 0;
    std::uint32_t Samples = 0;
    Instant LastAt{};
  };

  // Invariant: at most MaxClasses elements, with distinct request classes.
  std::vector<Measurement> Measured;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_CLASS_SERVICE_TIMES_H
