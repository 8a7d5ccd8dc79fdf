// Bounds the bodies that are on their way to this VM, so that its link keeps
// room for everything else.
//
//   BodyIntake Intake(BytesPerSecond);
//   Intake.push(7, 60'000, StartBy);
//   while (auto Next = Intake.popNext(Now)) ... // ask for the body of *Next
//   Intake.end(7);                              // arrived, or given up
#ifndef ORIOLEDOOR_ROUTING_BODY_INTAKE_H
#define ORIOLEDOOR_ROUTING_BODY_INTAKE_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// First come, first served. Not thread-safe; end() and takeOverdue() are linear
// in the bodies that wait.
class BodyIntake {
public:
  // 0 bytes a second: the link is not known and does not bound anything.
  explicit BodyIntake(double BytesPerSecond) : Rate(BytesPerSecond) {}

  // Bytes are to be asked for by StartBy.
  void push(std::uint64_t Id, std::uint64_t Bytes, Instant StartBy);
  // The next body to ask for; it counts as on its way until end().
  std::optional<std::uint64_t> popNext(Instant Now);
  // The body arrived or is not needed any more.
  void end(std::uint64_t Id);
  // Takes out all that were not asked for in time.
  std::vector<std::uint64_t> takeOverdue(Instant Now);

  // How long a new body waits until it is asked for.
  Duration expectedWait() const;
  // How long a body of this size is on its way.
  Duration transferTime(std::uint64_t Bytes) const;
  std::uint64_t queuedBytes() const { return this->OnTheWay + this->Waiting; }

private:
  struct Body {
    std::uint64_t Id = 0;
    std::uint64_t Bytes = 0;
    Instant StartBy;
  };

  double Rate;
  std::deque<Body> Queue;
  // Invariant: the sum of Queue.
  std::uint64_t Waiting = 0;
  std::map<std::uint64_t, std::uint64_t> Asked;
  // Invariant: the sum of Asked.
  std::uint64_t OnTheWay = 0;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_BODY_INTAKE_H
