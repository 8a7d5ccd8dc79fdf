// State shared by the components of the ownership reducer: the identity of this
// node, its current assignment and its known facts, with helpers to send
// messages and write logs.
#ifndef ORIOLEDOOR_OWNERSHIP_NODE_STATE_H
#define ORIOLEDOOR_OWNERSHIP_NODE_STATE_H

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/ownership/effect.h"
#include "orioledoor/ownership/fact_set.h"
#include "orioledoor/ownership/local_node.h"

namespace orioledoor::ownership {

struct NodeState {
  explicit NodeState(const LocalNode &Self) : Self(Self), Random(Self.Seed) {}

  LocalNode Self;
  // 0 while the node is not a member.
  MemberId Id;
  // Never null; has version 0 until an assignment arrives. Versions only
  // increase.
  std::shared_ptr<const Assignment> Current =
      std::make_shared<const Assignment>();
  FactSet Known;
  // Incremented whenever Known gains a fact.
  std::uint64_t FactsRevision = 0;
  std::uint64_t CatalogueRevision = 0;
  // The C++ standard specifies the output of mt19937_64, so replays are
  // deterministic.
  std::mt19937_64 Random;

  Versions versions() const {
    return {this->Current->Version, this->CatalogueRevision};
  }

  // Whether Member is deposed according to the assignment or a known fact.
  bool isDeposed(MemberId Member) const {
    return this->Known.isDeposed(Member) || this->Current->isDeposed(Member);
  }

  // This node's entry in the assignment, or null.
  const Member *self() const {
    return this->Id ? this->Current->find(this->Id) : nullptr;
  }

  // Records the fact that Member is deposed. Returns true if it is new.
  bool recordDeposed(MemberId Member, Instant Now) {
    bool New = this->Known.addDeposed(Member, Now);
    this->FactsRevision += New ? 1 : 0;
    return New;
  }

  // Returns the addresses of up to Count different live members other than this
  // node, or of a seed peer if no such member is found.
  std::vector<std::string> randomPeers(std::size_t Count);
};

// Appends an effect that sends Body to the member To. Dropped if the assignment
// does not list the member.
void sendTo(const NodeState &Node, MemberId To, Message Body, Effects &Output);

void writeLog(const EventDefinition &Event,
              std::initializer_list<LogField> Fields, Effects &Output);

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_NODE_STATE_H
