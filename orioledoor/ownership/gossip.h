// Spreads facts: at once and repeatedly to those concerned, onwards to random
// peers when new, and all of them once a second to one random peer.
//
//   Gossip Spread(Node);
//   Spread.announce(Now, Facts{.Deposed = {Id}}, Output);
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

  // Sends Fresh to the guardians and successors of its members, to the
  // coordinator and to random peers; repeats it to the former in case of loss.
  void announce(Instant Now, Facts NewFacts, Effects &Output);

  // Learns the facts and passes on those that are new.
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
