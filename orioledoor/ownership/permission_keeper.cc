// Renewals and the end of this member's permission.
#include "orioledoor/ownership/permission_keeper.h"

#include <algorithm>

#include "orioledoor/ownership/node_state.h"

namespace orioledoor::ownership {
namespace {

// Without a permission: after a start of the whole fleet permissions spread
// from the first member over several guardians, whose sum of waits must stay
// below the 800 ms for which the first member's own permission lasts.
constexpr Duration SeekingInterval = std::chrono::milliseconds(40);

} // namespace

// The random start separates the sequences of two processes that used the same
// address one after the other; 32 bits leave room to count.
PermissionKeeper::PermissionKeeper(NodeState &Node)
    : Node(Node), Sequence(Node.Random() >> 32 << 24),
      FirstSequence(this->Sequence + 1) {}

void PermissionKeeper::reset() {
  this->Links.clear();
  this->Former.clear();
  this->End = this->OwnEnd = Instant();
  this->FirstSequence = this->Sequence + 1;
  this->Renewing = true;
}

void PermissionKeeper::assignmentChanged(Instant Now) {
  const Member *Self = this->Node.self();
  if (!Self)
    return;
  // A guardian named again under a new term starts anew: its earlier grants
  // have ended before it was named.
  std::vector<Link> Updated;
  for (const Guardian &Recorded : Self->Guardians) {
    auto Kept = std::ranges::find(this->Links, Recorded, &Link::Recorded);
    Updated.push_back(Kept != this->Links.end()
                          ? *Kept
                          : Link{Recorded, Instant(), Now, 0, 0});
  }
  this->Links.swap(Updated);
  std::ranges::for_each(Updated,
                        [&](const Link &Old) { this->keepFormer(Old); });
  this->updateEnd();
}

void PermissionKeeper::keepFormer(const Link &Dropped) {
  // A guardian that is named again consented, so it derived nothing.
  if (std::ranges::none_of(this->Links, [&](const Link &Kept) {
        return Kept.Recorded.Member == Dropped.Recorded.Member;
      }))
    this->Former.push_back({Dropped.Recorded.Term, Dropped.GrantedUnder,
                            this->Node.Current->Version});
}

bool PermissionKeeper::counts(const Link &Through) const {
  const Member *Self = this->Node.self();
  if (!Self || Through.Recorded.Term <= Self->AdmittedAt)
    return true;
  auto Knew = [&](std::uint64_t Term, std::uint64_t GrantedUnder) {
    return Term >= Through.Recorded.Term ||
           GrantedUnder >= Through.Recorded.Term;
  };
  return std::ranges::all_of(this->Links,
                             [&](const Link &Other) {
                               return Knew(Other.Recorded.Term,
                                           Other.GrantedUnder);
                             }) &&
         std::ranges::all_of(this->Former, [&](const FormerLink &Other) {
           return Knew(Other.Term, Other.GrantedUnder);
         });
}

void PermissionKeeper::updateEnd() {
  // Whoever grants under the version that records another as deposed had not
  // released this node, so the other cannot have deposed it before.
  std::erase_if(this->Former, [&](const FormerLink &Old) {
    return std::ranges::any_of(this->Links, [&](const Link &Through) {
      return this->counts(Through) && Through.GrantedUnder >= Old.DroppedIn;
    });
  });
  this->End = this->OwnEnd;
  for (const Link &Through : this->Links)
    if (this->counts(Through))
      this->End = std::max(this->End, Through.End);
}

void PermissionKeeper::tick(Instant Now, Effects &Output) {
  const Member *Self = this->Node.self();
  if (!Self || !this->Renewing)
    return;
  if (Self->Guardians.empty()) {
    this->OwnEnd = Now + PermissionLength;
    this->updateEnd();
  }
  for (Link &Through : this->Links) {
    if (Now < Through.NextRenewal)
      continue;
    Through.NextRenewal =
        Now + (this->holds(Now) ? RenewalInterval : SeekingInterval);
    sendTo(this->Node, Through.Recorded.Member,
           Renew{this->Node.Id, ++this->Sequence, Now, Through.LastGrant,
                 this->holds(Now), this->Node.versions()},
           Output);
  }
}

void PermissionKeeper::handle(Instant Now, const Grant &Received) {
  // A grant cannot be older than this membership or from the future.
  if (Received.Sequence < this->FirstSequence ||
      Received.Sequence > this->Sequence || Received.SentAt > Now)
    return;
  auto Through =
      std::ranges::find(this->Links, Received.From, [](const Link &Candidate) {
        return Candidate.Recorded.Member;
      });
  if (Through == this->Links.end())
    return;
  Through->LastGrant = std::max(Through->LastGrant, Received.Sequence);
  Through->GrantedUnder =
      std::max(Through->GrantedUnder, Received.Held.Assignment);
  Through->End =
      std::max(Through->End,
               Received.SentAt + std::min(Received.Length, PermissionLength));
  this->updateEnd();
}

} // namespace orioledoor::ownership
