// Distributes facts: new facts immediately and repeatedly to the affected
// members and once to random peers, and all facts once a second to one random
// peer.
//
//   Gossip FactGossip(Node);
//   FactGossip.announce(Now, Facts{.Deposed = {Id}}, Output);
#ifndef ORIOLEDOOR_OWNERSHIP_GOSSIP_H
#define ORIOLEDOOR_OWNERSHIP_GOSSIP_H

#include <string>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/effect.h"

namespace orioledoor::ownership {

struct NodeState;

// Not thread-safe.
class Gossip {
public:
  explicit Gossip(NodeState &Node);

  // Sends NewFacts to the guardians and successors of the members concerned, to
  // the coordinator and to random peers. Resends it to all but the random
  // peers, in case messages are lost.
  void announce(Instant Now, Facts NewFacts, Effects &Output);

  // Records the received facts and forwards those that are new to random peers.
  void handle(Instant Now, const Facts &Received, Effects &Output);

  void tick(Instant Now, Effects &Output);

private:
  struct Resend {
    std::vector<std::string> Recipients;
    Facts Body;
    Instant NextSend;
    int Remaining = 0;
  };

  std::vector<std::string> directRecipients(const Facts &NewFacts) const;
  void pushToRandomPeers(const Facts &NewFacts, Effects &Output);

  NodeState &Node;
  std::vector<Resend> Resends;
  Instant NextExchange;
};

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_GOSSIP_H
