// Becoming a member through the store. See docs/design.md, section 5.
//
//   Joining Join(Node, Versions);
//   Join.start(Target);
//   Join.tick(Now, Output);
//   if (MemberId Id = Join.admittedAs()) ...
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

  // Asks for membership with a new token, on behalf of Target.
  void start(Instant Now, const TargetReady &Target);
  void stop() { this->Active = false; }
  bool isActive() const { return this->Active; }

  void tick(Instant Now, Effects &Output);
  void handle(Instant Now, const StoreReply &Reply, Effects &Output);

  // The id under which the assignment lists the token; 0 if it does not.
  // Linear in the number of members.
  MemberId admittedAs() const;

  // Whether this node should coordinate although it is no member: the store
  // holds no assignment, or nobody admitted this node for so long that no
  // member may be left to do it.
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
  // 0 if no write is open.
  std::uint64_t PendingRequest = 0;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_JOINING_H
