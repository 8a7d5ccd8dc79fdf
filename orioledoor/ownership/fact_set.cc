// Stores facts and derives whether a member is deposed.
#include "orioledoor/ownership/fact_set.h"

#include <algorithm>

#include "orioledoor/ownership/assignment.h"

namespace orioledoor::ownership {

bool FactSet::addDeposed(MemberId Id, Instant Now) {
  bool New =
      Id && this->Deposed.try_emplace(Id, DeposedEntry{Now, false}).second;
  this->ChangeCount += New ? 1 : 0;
  return New;
}

bool FactSet::addLeft(MemberId Id, Instant Now) {
  bool New = this->addDeposed(Id, Now);
  if (Id)
    this->Deposed[Id].Left = true;
  return New;
}

bool FactSet::addRelease(const Release &Fact) {
  if (this->findRelease(Fact.Member, Fact.GuardianId, Fact.Term))
    return false;
  this->Releases.push_back(Fact);
  ++this->ChangeCount;
  return true;
}

std::optional<Instant> FactSet::deposedSince(MemberId Id) const {
  auto Found = this->Deposed.find(Id);
  if (Found == this->Deposed.end())
    return std::nullopt;
  return Found->second.Since;
}

const Release *FactSet::findRelease(MemberId Member, MemberId GuardianId,
                                    std::uint64_t Term) const {
  auto Found = std::ranges::find_if(this->Releases, [&](const Release &R) {
    return R.Member == Member && R.GuardianId == GuardianId && R.Term == Term;
  });
  return Found == this->Releases.end() ? nullptr : &*Found;
}

bool FactSet::impliesDeposed(MemberId Id, const Assignment &Current,
                             Instant Now) const {
  const Member *Subject = Current.find(Id);
  if (!Subject || Subject->Guardians.empty())
    return false;
  return std::ranges::all_of(Subject->Guardians, [&](const Guardian &G) {
    const Release *Released = this->findRelease(Id, G.Member, G.Term);
    if (Released && Released->Version <= Current.Version)
      return true;
    std::optional<Instant> Since = this->deposedSince(G.Member);
    return Since && Now - *Since >= GrantExpiryDelay;
  });
}

Facts FactSet::snapshot() const {
  Facts All;
  All.Releases = this->Releases;
  for (const auto &[Id, Entry] : this->Deposed)
    (Entry.Left ? All.Left : All.Deposed).push_back(Id);
  return All;
}

void FactSet::prune(const Assignment &Current) {
  auto IsRemoved = [&](MemberId Id) {
    return Id.Value < Current.NextMemberId && !Current.find(Id);
  };
  std::erase_if(this->Deposed,
                [&](const auto &Entry) { return IsRemoved(Entry.first); });
  // A release also becomes obsolete when its term ends because the guardian was
  // named again.
  std::erase_if(this->Releases, [&](const Release &R) {
    const Member *Subject = Current.find(R.Member);
    return !Subject ? IsRemoved(R.Member)
                    : R.Version < Current.Version &&
                          std::ranges::find(Subject->Guardians,
                                            Guardian{R.GuardianId, R.Term}) ==
                              Subject->Guardians.end();
  });
}

} // namespace orioledoor::ownership
