// Sends renewals and computes the end of this member's permission.
#include "orioledoor/ownership/permission_holder.h"

#include <algorithm>

#include "orioledoor/ownership/node_state.h"

namespace orioledoor::ownership {
namespace {

// Renewal interval of a member that holds no permission. After the whole fleet
// starts, permissions spread from the first member over several guardians; the
// sum of their delays must stay below the 800 ms for which the first member's
// own permission lasts.
constexpr Duration UnpermittedRenewalInterval = std::chrono::milliseconds(40);

} // namespace

// The random start separates the sequence numbers of two processes that used
// the same address one after the other. The remaining bits leave room to count.
PermissionHolder::PermissionHolder(NodeState &Node)
    : Node(Node), Sequence(Node.Random() >> 32 << 24),
      FirstSequence(this->Sequence + 1) {}

void PermissionHolder::reset() {
  this->Links.clear();
  this->FormerGuardians.clear();
  this->PermissionEnd = this->SelfPermissionEnd = Instant();
  this->FirstSequence = this->Sequence + 1;
  this->Renewing = true;
}

void PermissionHolder::updateFromAssignment(Instant Now) {
  const Member *Self = this->Node.self();
  if (!Self)
    return;
  // A guardian that is named again under a new term starts with a fresh state:
  // its earlier grants expired before it was named.
  std::vector<GuardianLink> Updated;
  for (const Guardian &Recorded : Self->Guardians) {
    auto Kept =
        std::ranges::find(this->Links, Recorded, &GuardianLink::Recorded);
    Updated.push_back(Kept != this->Links.end()
                          ? *Kept
                          : GuardianLink{Recorded, Instant(), Now, 0, 0});
  }
  this->Links.swap(Updated);
  std::ranges::for_each(
      Updated, [&](const GuardianLink &Old) { this->addFormerGuardian(Old); });
  this->updateEnd();
}

void PermissionHolder::addFormerGuardian(const GuardianLink &Dropped) {
  // A guardian that is named again has consented, so it did not conclude that
  // this node is deposed.
  if (std::ranges::none_of(this->Links, [&](const GuardianLink &Kept) {
        return Kept.Recorded.Member == Dropped.Recorded.Member;
      }))
    this->FormerGuardians.push_back({Dropped.Recorded.Term,
                                     Dropped.GrantedUnder,
                                     this->Node.Current->Version});
}

bool PermissionHolder::isEffective(const GuardianLink &Link) const {
  const Member *Self = this->Node.self();
  if (!Self || Link.Recorded.Term <= Self->AdmittedAt)
    return true;
  auto IsAware = [&](std::uint64_t Term, std::uint64_t GrantedUnder) {
    return Term >= Link.Recorded.Term || GrantedUnder >= Link.Recorded.Term;
  };
  return std::ranges::all_of(this->Links,
                             [&](const GuardianLink &Other) {
                               return IsAware(Other.Recorded.Term,
                                              Other.GrantedUnder);
                             }) &&
         std::ranges::all_of(this->FormerGuardians,
                             [&](const FormerGuardian &Other) {
                               return IsAware(Other.Term, Other.GrantedUnder);
                             });
}

void PermissionHolder::updateEnd() {
  // A guardian that grants under the version that removed another guardian has
  // not released this node, so the removed guardian cannot have deposed this
  // node before.
  std::erase_if(this->FormerGuardians, [&](const FormerGuardian &Old) {
    return std::ranges::any_of(this->Links, [&](const GuardianLink &Link) {
      return this->isEffective(Link) && Link.GrantedUnder >= Old.DroppedIn;
    });
  });
  this->PermissionEnd = this->SelfPermissionEnd;
  for (const GuardianLink &Link : this->Links)
    if (this->isEffective(Link))
      this->PermissionEnd = std::max(this->PermissionEnd, Link.End);
}

void PermissionHolder::tick(Instant Now, Effects &Output) {
  const Member *Self = this->Node.self();
  if (!Self || !this->Renewing)
    return;
  if (Self->Guardians.empty()) {
    this->SelfPermissionEnd = Now + PermissionLength;
    this->updateEnd();
  }
  for (GuardianLink &Link : this->Links) {
    if (Now < Link.NextRenewal)
      continue;
    Link.NextRenewal =
        Now + (this->holds(Now) ? RenewalInterval : UnpermittedRenewalInterval);
    sendTo(this->Node, Link.Recorded.Member,
           Renew{this->Node.Id, ++this->Sequence, Now, Link.LastGrant,
                 this->holds(Now), this->Node.versions()},
           Output);
  }
}

void PermissionHolder::handle(Instant Now, const Grant &Received) {
  // Ignores grants that are older than this membership or from the future.
  if (Received.Sequence < this->FirstSequence ||
      Received.Sequence > this->Sequence || Received.SentAt > Now)
    return;
  auto Link = std::ranges::find(
      this->Links, Received.From,
      [](const GuardianLink &Candidate) { return Candidate.Recorded.Member; });
  if (Link == this->Links.end())
    return;
  Link->LastGrant = std::max(Link->LastGrant, Received.Sequence);
  Link->GrantedUnder =
      std::max(Link->GrantedUnder, Received.HeldVersions.Assignment);
  Link->End = std::max(
      Link->End, Received.SentAt + std::min(Received.Length, PermissionLength));
  this->updateEnd();
}

} // namespace orioledoor::ownership
