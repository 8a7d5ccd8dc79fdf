// Peer selection, sending and logging for the components of the reducer.
#include "orioledoor/ownership/node_state.h"

#include <algorithm>
#include <utility>

namespace orioledoor::ownership {

std::vector<std::string> NodeState::randomPeers(std::size_t Count) {
  std::vector<std::string> Peers;
  auto AddPeer = [&](const std::string &Address) {
    if (Address != this->Self.PeerAddress &&
        std::ranges::find(Peers, Address) == Peers.end())
      Peers.push_back(Address);
  };
  const std::vector<Member> &Members = this->Current->Members;
  // Some draws fail in a small fleet or one with many deposed members. That is
  // acceptable because gossip is repeated.
  for (std::size_t Draw = 0;
       !Members.empty() && Draw < 4 * Count && Peers.size() < Count; ++Draw) {
    const Member &Candidate = Members[this->Random() % Members.size()];
    if (!this->isDeposed(Candidate.Id))
      AddPeer(Candidate.PeerAddress);
  }
  const std::vector<std::string> &Seeds = this->Self.Seeds;
  if (Peers.empty() && !Seeds.empty())
    AddPeer(Seeds[this->Random() % Seeds.size()]);
  return Peers;
}

void sendTo(const NodeState &Node, MemberId To, Message Body, Effects &Output) {
  if (const Member *Receiver = Node.Current->find(To))
    Output.push_back(SendPeer{Receiver->PeerAddress, std::move(Body)});
}

void writeLog(const EventDefinition &Event,
              std::initializer_list<LogField> Fields, Effects &Output) {
  Output.push_back(WriteLog{LogRecord{&Event, Fields}});
}

} // namespace orioledoor::ownership
