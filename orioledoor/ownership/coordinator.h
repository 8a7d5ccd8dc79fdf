// The coordinator: the only writer of the assignment. It holds the store
// lease key keys::Coordinator, admits members, records facts, chooses
// guardians and successors, and plans moves. See docs/design.md, sections 4.3,
// 4.4 and 9.
//
// Part of the ownership reducer, which passes it the inputs below and appends
// its effects. Every node has one; it stays passive unless told that the node
// may coordinate and the lease was won.
//
//   Coordinator Planner(Self);
//   Planner.tick(Now, WallMicros, Known, Output);
#ifndef ORIOLEDOOR_OWNERSHIP_COORDINATOR_H
#define ORIOLEDOOR_OWNERSHIP_COORDINATOR_H

#include <cstdint>
#include <memory>
#include <string_view>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/effect.h"

namespace orioledoor {
struct Catalogue;
struct StoreChange;
struct StoreReply;
} // namespace orioledoor

namespace orioledoor::ownership {

struct Assignment;
struct LocalNode;
class FactSet;

// StoreRequest ids of the coordinator have this bit; all others lack it. The
// reducer passes on replies by it.
inline constexpr std::uint64_t CoordinatorRequestBit = 1ULL << 63;

// Messages that it sends to this node's own address are delivered by the
// reducer without the network.
//
// Not thread-safe. Deterministic.
class Coordinator {
public:
  explicit Coordinator(const LocalNode &Self);
  ~Coordinator();
  Coordinator(Coordinator &&) noexcept;
  Coordinator &operator=(Coordinator &&) noexcept;

  // Whether this node should try to win and keep the lease. The reducer
  // passes true on the node of a failure domain that watches the store, and on
  // a joining node while the store holds no assignment.
  void setEligible(bool Eligible);

  // This node's member id; 0 while it has none.
  void setSelf(MemberId Self);

  // Whether this node's member holds a permission.
  void setPermitted(bool Permitted);

  // Holds the lease, as far as known.
  bool isActive() const;

  // Every 20 ms. WallMicros dates audit records.
  void tick(Instant Now, std::int64_t WallMicros, const FactSet &Known,
            Effects &Output);

  // A newer assignment than before. ModRevision is 0 if it came from a peer.
  void observe(const Assignment &Current, std::int64_t ModRevision);

  // The catalogue in force at this node.
  void observe(std::shared_ptr<const Catalogue> Current);

  // A reply to a request whose Id has CoordinatorRequestBit.
  void handle(Instant Now, const StoreReply &Reply, Effects &Output);

  // Any change that the store watch delivered.
  void handle(Instant Now, const StoreChange &Change);

  // Messages addressed to the coordinator. From is the sender's address.
  void handle(Instant Now, const Promise &Received);
  void handle(Instant Now, const Consent &Received);
  // Sent by the new owner of a slice that was handed over; members repeat it
  // to the coordinator until the assignment lists them as the owner.
  void handle(Instant Now, const YieldAck &Received);
  void handle(Instant Now, const LoadReport &Received);
  void handle(Instant Now, std::string_view From, const SpendRequest &Received);

private:
  struct State;
  // Never null except after a move.
  std::unique_ptr<State> Impl;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_COORDINATOR_H
