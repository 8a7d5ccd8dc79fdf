// Grants, releases, consents and derived facts of a guardian.
#include "orioledoor/ownership/guard_duty.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "orioledoor/ownership/events.h"
#include "orioledoor/ownership/node_state.h"
#include "orioledoor/ownership/permission_keeper.h"

namespace orioledoor::ownership {
namespace {

// A longer gap between ticks means that this process was paused: renewals
// that arrived meanwhile have not been handled yet.
constexpr Duration PauseSuspected = std::chrono::milliseconds(100);

} // namespace

GuardDuty::GuardDuty(NodeState &Node) : Node(Node) {}

void GuardDuty::reset() {
  this->Duties.clear();
  this->Consents.clear();
}

std::vector<MemberId> GuardDuty::members() const {
  auto Keys = std::views::keys(this->Duties);
  return {Keys.begin(), Keys.end()};
}

bool GuardDuty::consented(MemberId Member) const {
  auto Found = this->Consents.find(Member);
  return Found != this->Consents.end() &&
         this->Node.Current->Version < Found->second.Version;
}

void GuardDuty::assignmentChanged(Instant Now) {
  const Assignment &Current = *this->Node.Current;
  std::erase_if(this->Consents, [&](const auto &Entry) {
    return Entry.second.Version <= Current.Version;
  });
  const Member *Self = this->Node.self();
  std::map<MemberId, Duty> Updated;
  for (const Member &M : Current.Members) {
    auto Mine =
        std::ranges::find(M.Guardians, this->Node.Id, &Guardian::Member);
    if (!Self || M.Deposed || Mine == M.Guardians.end())
      continue;
    auto Kept = this->Duties.find(M.Id);
    bool Same = Kept != this->Duties.end() && Kept->second.Term == Mine->Term;
    Duty Of = Same ? Kept->second : Duty{};
    // A member admitted without guardians permits itself until it knows better.
    if (!Same) {
      Of.Term = Mine->Term;
      Of.LastHeard = Now;
      Of.MustHearFirst = M.AloneUntil != 0 && Mine->Term == M.AloneUntil;
    }
    Updated.emplace(M.Id, Of);
  }
  this->Duties = std::move(Updated);
}

void GuardDuty::handle(Instant Now, const std::string &From,
                       const Renew &Received, bool HoldsPermission,
                       Effects &Output) {
  auto Refused = [&](bool Released) {
    Output.push_back(
        SendPeer{From, Refuse{this->Node.Id, Released, this->Node.versions()}});
  };
  auto Found = this->Duties.find(Received.From);
  if (Found == this->Duties.end())
    return Refused(false);
  Duty &Of = Found->second;
  if (Of.Released || this->Node.isDeposed(Received.From))
    return Refused(true);
  Of.LastHeard = Now;
  if (Of.MustHearFirst && Received.Held.Assignment >= Of.Term) {
    Of.MustHearFirst = false;
    // The permission that the member gave itself ends within this time.
    Of.GrantsEnd = std::max(Of.GrantsEnd, Now + GrantLapse);
  }
  if (!HoldsPermission || this->consented(Received.From)) {
    Of.UnpermittedSince.reset();
    return Refused(false);
  }
  if (Received.HoldsPermission)
    Of.UnpermittedSince.reset();
  else if (!Of.UnpermittedSince)
    Of.UnpermittedSince = Now;
  Of.GrantsEnd = std::max(Of.GrantsEnd, Now + GrantLapse);
  Output.push_back(
      SendPeer{From, Grant{this->Node.Id, Received.Sequence, Received.SentAt,
                           PermissionLength, this->Node.versions()}});
}

void GuardDuty::handle(const std::string &From,
                       const ConsentRequest &Received) {
  // A fact that this node derived cannot be taken back.
  if (Received.Version <= this->Node.Current->Version || !this->Node.Id ||
      this->Node.isDeposed(Received.Member))
    return;
  auto Found = this->Duties.find(Received.Member);
  PendingConsent &Of = this->Consents[Received.Member];
  Of.ReplyTo = From;
  Of.Version = std::max(Of.Version, Received.Version);
  Of.Answered = false;
  if (Found != this->Duties.end())
    Of.GrantsEnd = std::max(Of.GrantsEnd, Found->second.GrantsEnd);
}

bool GuardDuty::releasedByOther(MemberId Member) const {
  const struct Member *Recorded = this->Node.Current->find(Member);
  return Recorded &&
         std::ranges::any_of(Recorded->Guardians, [&](const Guardian &G) {
           return G.Member != this->Node.Id &&
                  this->Node.Known.findRelease(Member, G.Member, G.Term);
         });
}

void GuardDuty::release(MemberId Member, Duty &Of, Instant Now, DutyNews &News,
                        Effects &Output) {
  if (!Of.Released || Of.Announced || Now < Of.GrantsEnd)
    return;
  Of.Announced = true;
  Release Fact{Member, this->Node.Id, Of.Term, this->Node.Current->Version};
  this->Node.FactsRevision += this->Node.Known.addRelease(Fact) ? 1 : 0;
  News.Releases.push_back(Fact);
  writeLog(events::MemberReleased,
           {{"member", std::to_string(Member.Value)},
            {"term", std::to_string(Of.Term)}},
           Output);
}

DutyNews GuardDuty::tick(Instant Now, bool HoldsPermission, Effects &Output) {
  DutyNews News;
  bool Paused = Now - this->LastTick > PauseSuspected;
  this->LastTick = Now;
  for (auto &[Member, Of] : this->Duties) {
    if (Paused) {
      Of.LastHeard = Now;
      Of.UnpermittedSince.reset();
    }
    if (!HoldsPermission || this->consented(Member) ||
        this->Node.isDeposed(Member))
      continue;
    // Another guardian releases such a member only after it heard it.
    Of.MustHearFirst = Of.MustHearFirst && !this->releasedByOther(Member);
    Of.Released |=
        !Of.MustHearFirst &&
        (Now - Of.LastHeard >= ReleaseAfter ||
         (Of.UnpermittedSince && Now - *Of.UnpermittedSince >= ReleaseAfter));
    this->release(Member, Of, Now, News, Output);
    if (Of.Announced &&
        this->Node.Known.impliesDeposed(Member, *this->Node.Current, Now) &&
        this->Node.learnDeposed(Member, Now)) {
      News.Deposed.push_back(Member);
      writeLog(events::MemberDeposed,
               {{"member", std::to_string(Member.Value)}}, Output);
    }
  }
  for (auto &[Member, Of] : this->Consents) {
    if (Of.Answered || Now < Of.GrantsEnd)
      continue;
    Of.Answered = true;
    Output.push_back(
        SendPeer{Of.ReplyTo, Consent{this->Node.Id, Member, Of.Version}});
  }
  return News;
}

} // namespace orioledoor::ownership
