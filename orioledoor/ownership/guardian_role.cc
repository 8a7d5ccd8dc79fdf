// Grants, releases, consents and derived facts of a guardian.
#include "orioledoor/ownership/guardian_role.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "orioledoor/ownership/events.h"
#include "orioledoor/ownership/node_state.h"
#include "orioledoor/ownership/permission_holder.h"

namespace orioledoor::ownership {
namespace {

// A longer gap between ticks means that this process was paused, so renewals
// that arrived in the meantime have not been handled yet.
constexpr Duration MaxTickGap = std::chrono::milliseconds(100);

} // namespace

GuardianRole::GuardianRole(NodeState &Node) : Node(Node) {}

void GuardianRole::reset() {
  this->GuardedMembers.clear();
  this->Consents.clear();
}

std::vector<MemberId> GuardianRole::members() const {
  auto Keys = std::views::keys(this->GuardedMembers);
  return {Keys.begin(), Keys.end()};
}

bool GuardianRole::hasConsented(MemberId Member) const {
  auto Found = this->Consents.find(Member);
  return Found != this->Consents.end() &&
         this->Node.Current->Version < Found->second.Version;
}

void GuardianRole::updateFromAssignment(Instant Now) {
  const Assignment &Current = *this->Node.Current;
  std::erase_if(this->Consents, [&](const auto &Entry) {
    return Entry.second.Version <= Current.Version;
  });
  const Member *Self = this->Node.self();
  std::map<MemberId, GuardedMember> Updated;
  for (const Member &M : Current.Members) {
    auto OwnEntry =
        std::ranges::find(M.Guardians, this->Node.Id, &Guardian::Member);
    if (!Self || M.Deposed || OwnEntry == M.Guardians.end())
      continue;
    auto Existing = this->GuardedMembers.find(M.Id);
    bool Same = Existing != this->GuardedMembers.end() &&
                Existing->second.Term == OwnEntry->Term;
    GuardedMember Guarded = Same ? Existing->second : GuardedMember{};
    // A member admitted without guardians grants permissions to itself until it
    // learns of its guardians.
    if (!Same) {
      Guarded.Term = OwnEntry->Term;
      Guarded.LastRenewal = Now;
      Guarded.AwaitsFirstRenewal =
          M.SelfPermittedUntil != 0 && OwnEntry->Term == M.SelfPermittedUntil;
    }
    Updated.emplace(M.Id, Guarded);
  }
  this->GuardedMembers = std::move(Updated);
}

void GuardianRole::handle(Instant Now, const std::string &From,
                          const Renew &Received, bool HoldsPermission,
                          Effects &Output) {
  auto SendRefusal = [&](bool Released) {
    Output.push_back(
        SendPeer{From, Refuse{this->Node.Id, Released, this->Node.versions()}});
  };
  auto Found = this->GuardedMembers.find(Received.From);
  if (Found == this->GuardedMembers.end())
    return SendRefusal(false);
  GuardedMember &Guarded = Found->second;
  if (Guarded.Released || this->Node.isDeposed(Received.From))
    return SendRefusal(true);
  Guarded.LastRenewal = Now;
  if (Guarded.AwaitsFirstRenewal &&
      Received.HeldVersions.Assignment >= Guarded.Term) {
    Guarded.AwaitsFirstRenewal = false;
    // The permission that the member granted to itself expires within this
    // time.
    Guarded.GrantsEnd = std::max(Guarded.GrantsEnd, Now + GrantExpiryDelay);
  }
  if (!HoldsPermission || this->hasConsented(Received.From)) {
    Guarded.UnpermittedSince.reset();
    return SendRefusal(false);
  }
  if (Received.HoldsPermission)
    Guarded.UnpermittedSince.reset();
  else if (!Guarded.UnpermittedSince)
    Guarded.UnpermittedSince = Now;
  Guarded.GrantsEnd = std::max(Guarded.GrantsEnd, Now + GrantExpiryDelay);
  Output.push_back(
      SendPeer{From, Grant{this->Node.Id, Received.Sequence, Received.SentAt,
                           PermissionLength, this->Node.versions()}});
}

void GuardianRole::handle(const std::string &From,
                          const ConsentRequest &Received) {
  // A derived fact cannot be withdrawn.
  if (Received.Version <= this->Node.Current->Version || !this->Node.Id ||
      this->Node.isDeposed(Received.Member))
    return;
  auto Found = this->GuardedMembers.find(Received.Member);
  PendingConsent &Pending = this->Consents[Received.Member];
  Pending.ReplyTo = From;
  Pending.Version = std::max(Pending.Version, Received.Version);
  Pending.Answered = false;
  if (Found != this->GuardedMembers.end())
    Pending.GrantsEnd = std::max(Pending.GrantsEnd, Found->second.GrantsEnd);
}

bool GuardianRole::isReleasedByOther(MemberId Member) const {
  const struct Member *Recorded = this->Node.Current->find(Member);
  return Recorded &&
         std::ranges::any_of(Recorded->Guardians, [&](const Guardian &G) {
           return G.Member != this->Node.Id &&
                  this->Node.Known.findRelease(Member, G.Member, G.Term);
         });
}

void GuardianRole::announceRelease(MemberId Member, GuardedMember &Guarded,
                                   Instant Now, DerivedFacts &Derived,
                                   Effects &Output) {
  if (!Guarded.Released || Guarded.ReleaseAnnounced || Now < Guarded.GrantsEnd)
    return;
  Guarded.ReleaseAnnounced = true;
  Release Fact{Member, this->Node.Id, Guarded.Term,
               this->Node.Current->Version};
  this->Node.FactsRevision += this->Node.Known.addRelease(Fact) ? 1 : 0;
  Derived.Releases.push_back(Fact);
  writeLog(events::MemberReleased,
           {{"member", std::to_string(Member.Value)},
            {"term", std::to_string(Guarded.Term)}},
           Output);
}

DerivedFacts GuardianRole::tick(Instant Now, bool HoldsPermission,
                                Effects &Output) {
  DerivedFacts Derived;
  bool Paused = Now - this->LastTick > MaxTickGap;
  this->LastTick = Now;
  for (auto &[Member, Guarded] : this->GuardedMembers) {
    if (Paused) {
      Guarded.LastRenewal = Now;
      Guarded.UnpermittedSince.reset();
    }
    if (!HoldsPermission || this->hasConsented(Member) ||
        this->Node.isDeposed(Member))
      continue;
    // Another guardian releases such a member only after it received a renewal.
    Guarded.AwaitsFirstRenewal =
        Guarded.AwaitsFirstRenewal && !this->isReleasedByOther(Member);
    Guarded.Released |= !Guarded.AwaitsFirstRenewal &&
                        (Now - Guarded.LastRenewal >= ReleaseAfter ||
                         (Guarded.UnpermittedSince &&
                          Now - *Guarded.UnpermittedSince >= ReleaseAfter));
    this->announceRelease(Member, Guarded, Now, Derived, Output);
    if (Guarded.ReleaseAnnounced &&
        this->Node.Known.impliesDeposed(Member, *this->Node.Current, Now) &&
        this->Node.recordDeposed(Member, Now)) {
      Derived.Deposed.push_back(Member);
      writeLog(events::MemberDeposed,
               {{"member", std::to_string(Member.Value)}}, Output);
    }
  }
  for (auto &[Member, Pending] : this->Consents) {
    if (Pending.Answered || Now < Pending.GrantsEnd)
      continue;
    Pending.Answered = true;
    Output.push_back(SendPeer{Pending.ReplyTo,
                              Consent{this->Node.Id, Member, Pending.Version}});
  }
  return Derived;
}

} // namespace orioledoor::ownership
