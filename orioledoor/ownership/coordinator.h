// The coordinator: the only writer of the assignment. It holds the store lease
// on keys::Coordinator, admits members, records facts, chooses guardians and
// successors, and plans moves. See docs/design.md, sections 4.3, 4.4 and 9.
//
// Part of the ownership reducer, which forwards the inputs below and collects
// the effects. Every node has an instance; it remains passive unless the node
// is eligible and has acquired the lease.
//
//   Coordinator OwnCoordinator(Self);
//   OwnCoordinator.tick(Now, WallMicros, Known, Output);
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

// Set in the StoreRequest ids of the coordinator and in no others. The reducer
// uses it to route replies.
inline constexpr std::uint64_t CoordinatorRequestBit = 1ULL << 63;

// The reducer delivers messages that the coordinator sends to this node's own
// address without using the network.
//
// Not thread-safe. Deterministic.
class Coordinator {
public:
  explicit Coordinator(const LocalNode &Self);
  ~Coordinator();
  Coordinator(Coordinator &&) noexcept;
  Coordinator &operator=(Coordinator &&) noexcept;

  // Sets whether this node should try to acquire and keep the lease. The
  // reducer passes true on the node of a failure domain that watches the store,
  // and on a joining node while the store contains no assignment.
  void setEligible(bool Eligible);

  // Sets this node's member id; 0 while it is not a member.
  void setSelf(MemberId Self);

  // Sets whether this node holds a permission.
  void setPermitted(bool Permitted);

  // Whether this node acts as the coordinator: it holds the lease and has
  // started to load the stored assignment.
  bool isActive() const;

  // Must be called every 20 ms. WallMicros is the timestamp of audit records.
  void tick(Instant Now, std::int64_t WallMicros, const FactSet &Known,
            Effects &Output);

  // Receives a newer assignment. ModRevision is its store revision, or 0 if it
  // came from a peer.
  void updateAssignment(const Assignment &Current, std::int64_t ModRevision);

  // Receives the catalogue that is active on this node.
  void updateCatalogue(std::shared_ptr<const Catalogue> Current);

  // Handles a reply to a request whose Id has CoordinatorRequestBit.
  void handle(Instant Now, const StoreReply &Reply, Effects &Output);

  // Handles a change reported by the store watch.
  void handle(Instant Now, const StoreChange &Change);

  // Handle messages addressed to the coordinator. From is the sender's address.
  void handle(Instant Now, const Promise &Received);
  void handle(Instant Now, const Consent &Received);
  // Sent by the new owner of a slice after a handover. Members resend it to the
  // coordinator until the assignment lists the new owner.
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
