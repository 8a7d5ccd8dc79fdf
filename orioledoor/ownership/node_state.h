// What the parts of the ownership reducer share: who this node is, the
// assignment it holds, the facts it knows, and how to send and log.
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
  // Never null; version 0 until a first one arrives. Versions only grow.
  std::shared_ptr<const Assignment> Current =
      std::make_shared<const Assignment>();
  FactSet Known;
  // Raised whenever Known gains a fact.
  std::uint64_t FactsRevision = 0;
  std::uint64_t CatalogueRevision = 0;
  // The output of mt19937_64 is fixed by the standard, so replays agree.
  std::mt19937_64 Random;

  Versions versions() const {
    return {this->Current->Version, this->CatalogueRevision};
  }

  // By the record or by a fact.
  bool isDeposed(MemberId Member) const {
    return this->Known.isDeposed(Member) || this->Current->isDeposed(Member);
  }

  // This node's entry in the assignment, or null.
  const Member *self() const {
    return this->Id ? this->Current->find(this->Id) : nullptr;
  }

  // Records the fact; true if it is new.
  bool recordDeposed(MemberId Member, Instant Now) {
    bool New = this->Known.addDeposed(Member, Now);
    this->FactsRevision += New ? 1 : 0;
    return New;
  }

  // Up to Count different live members other than this node, or addresses
  // from the settings while no assignment is known.
  std::vector<std::string> randomPeers(std::size_t Count);
};

// Appends a message to a member; dropped if the assignment does not list it.
void sendTo(const NodeState &Node, MemberId To, Message Body, Effects &Output);

void writeLog(const EventDefinition &Event,
              std::initializer_list<LogField> Fields, Effects &Output);

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_NODE_STATE_H
