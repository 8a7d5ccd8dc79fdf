// Requests membership for this node through the store. See docs/design.md,
// section 5.
//
//   Joining Join(Node, Versions);
//   Join.start(Now, Target);
//   Join.tick(Now, Output);
//   if (MemberId Id = Join.admittedAs())
//     ...
#ifndef ORIOLEDOOR_OWNERSHIP_JOINING_H
#define ORIOLEDOOR_OWNERSHIP_JOINING_H

#include <cstdint>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/effect.h"
#include "orioledoor/ownership/event.h"

namespace orioledoor::ownership {

class Distribution;
struct NodeState;

// Not thread-safe.
class Joining {
public:
  Joining(NodeState &Node, Distribution &Versions);

  // Starts to request membership with a new token, on behalf of Target.
  void start(Instant Now, const TargetReady &Target);
  void stop() { this->Active = false; }
  bool isActive() const { return this->Active; }

  void tick(Instant Now, Effects &Output);
  void handle(Instant Now, const StoreReply &Reply, Effects &Output);

  // Returns the member id that the assignment lists for the token; 0 if there
  // is none. Linear in the number of members.
  MemberId admittedAs() const;

  // Whether this node may become the coordinator although it is not a member:
  // the store contains no assignment, or this node has waited for its admission
  // for so long that there may be no member left to admit it.
  bool mayCoordinate(Instant Now) const;

private:
  void requestAdmission(Instant Now, Effects &Output);

  NodeState &Node;
  Distribution &Versions;
  TargetReady Target;
  bool Active = false;
  std::uint64_t Token = 0;
  Instant Started;
  Instant NextRequest;
  Instant NextPoll;
  // Id of the pending write; 0 if there is none.
  std::uint64_t PendingRequest = 0;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_JOINING_H
