// Sending, resending and receiving of facts.
#include "orioledoor/ownership/gossip.h"

#include <algorithm>
#include <set>
#include <utility>

#include "orioledoor/ownership/node_state.h"

namespace orioledoor::ownership {
namespace {

constexpr Duration ExchangeInterval = std::chrono::seconds(1);
constexpr Duration ResendInterval = std::chrono::milliseconds(100);
constexpr int ResendCount = 4;
constexpr std::size_t PushFanOut = 4;

// A fact about a member that the assignment no longer lists has no effect. If a
// removed fact were recorded again, it would circulate forever.
bool isObsolete(const Assignment &Current, MemberId Member) {
  return !Member ||
         (Member.Value < Current.NextMemberId && !Current.find(Member));
}

bool isObsolete(const Assignment &Current, const Release &Fact) {
  const Member *Subject = Current.find(Fact.Member);
  return !Subject
             ? isObsolete(Current, Fact.Member)
             : Fact.Version < Current.Version &&
                   std::ranges::find(Subject->Guardians,
                                     Guardian{Fact.GuardianId, Fact.Term}) ==
                       Subject->Guardians.end();
}

bool hasNoFacts(const Facts &Value) {
  return Value.Releases.empty() && Value.Deposed.empty() && Value.Left.empty();
}

} // namespace

Gossip::Gossip(NodeState &Node) : Node(Node) {}

std::vector<std::string> Gossip::directRecipients(const Facts &NewFacts) const {
  const Assignment &Current = *this->Node.Current;
  std::set<MemberId> Receivers{Current.Coordinator};
  auto AddGuardians = [&](const Member &Subject) {
    for (const Guardian &G : Subject.Guardians)
      Receivers.insert(G.Member);
  };
  for (const Release &Fact : NewFacts.Releases)
    if (const Member *Subject = Current.find(Fact.Member))
      AddGuardians(*Subject);
  for (const std::vector<MemberId> *List : {&NewFacts.Deposed, &NewFacts.Left})
    for (MemberId Id : *List) {
      const Member *Subject = Current.find(Id);
      if (!Subject)
        continue;
      AddGuardians(*Subject);
      // The member itself may be alive and unaware of the fact.
      Receivers.insert(Id);
      for (const std::vector<MemberId> &Bucket : Subject->Successors)
        Receivers.insert(Bucket.begin(), Bucket.end());
    }
  Receivers.erase(this->Node.Id);
  std::vector<std::string> Addresses;
  for (MemberId Id : Receivers)
    if (const Member *Receiver = Current.find(Id))
      Addresses.push_back(Receiver->PeerAddress);
  std::erase(Addresses, this->Node.Self.PeerAddress);
  return Addresses;
}

void Gossip::pushToRandomPeers(const Facts &NewFacts, Effects &Output) {
  for (std::string &Peer : this->Node.randomPeers(PushFanOut))
    Output.push_back(SendPeer{std::move(Peer), NewFacts});
}

void Gossip::announce(Instant Now, Facts NewFacts, Effects &Output) {
  if (hasNoFacts(NewFacts))
    return;
  NewFacts.HeldVersions = this->Node.versions();
  std::vector<std::string> Recipients = this->directRecipients(NewFacts);
  for (const std::string &Peer : Recipients)
    Output.push_back(SendPeer{Peer, NewFacts});
  this->pushToRandomPeers(NewFacts, Output);
  this->Resends.push_back({std::move(Recipients), std::move(NewFacts),
                           Now + ResendInterval, ResendCount});
}

void Gossip::handle(Instant Now, const Facts &Received, Effects &Output) {
  Facts NewFacts;
  FactSet &Known = this->Node.Known;
  const Assignment &Current = *this->Node.Current;
  for (const Release &Fact : Received.Releases)
    if (!isObsolete(Current, Fact) && Known.addRelease(Fact))
      NewFacts.Releases.push_back(Fact);
  for (MemberId Id : Received.Deposed)
    if (!isObsolete(Current, Id) && Known.addDeposed(Id, Now))
      NewFacts.Deposed.push_back(Id);
  for (MemberId Id : Received.Left)
    if (!isObsolete(Current, Id) && Known.addLeft(Id, Now))
      NewFacts.Left.push_back(Id);
  if (hasNoFacts(NewFacts))
    return;
  ++this->Node.FactsRevision;
  NewFacts.HeldVersions = this->Node.versions();
  this->pushToRandomPeers(NewFacts, Output);
}

void Gossip::tick(Instant Now, Effects &Output) {
  for (Resend &R : this->Resends) {
    if (Now < R.NextSend)
      continue;
    R.NextSend = Now + ResendInterval;
    --R.Remaining;
    for (const std::string &Peer : R.Recipients)
      Output.push_back(SendPeer{Peer, R.Body});
  }
  std::erase_if(this->Resends,
                [](const Resend &R) { return R.Remaining <= 0; });
  if (Now < this->NextExchange)
    return;
  // Jitter prevents nodes that started at the same time from sending at the
  // same time.
  this->NextExchange =
      Now + ExchangeInterval + Duration(this->Node.Random() % 100'000);
  for (std::string &Peer : this->Node.randomPeers(1)) {
    Facts All = this->Node.Known.snapshot();
    All.HeldVersions = this->Node.versions();
    Output.push_back(SendPeer{std::move(Peer), std::move(All)});
  }
}

} // namespace orioledoor::ownership
