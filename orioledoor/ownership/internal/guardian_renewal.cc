// Exponential pauses for each guardian and member.
#include "orioledoor/ownership/internal/guardian_renewal.h"

#include <algorithm>

#include "orioledoor/ownership/fact_set.h"
#include "orioledoor/ownership/load_model.h"

namespace orioledoor::ownership::internal {
namespace {

constexpr Duration FirstPause = std::chrono::seconds(1);
constexpr Duration LongestPause = std::chrono::seconds(30);
// Pauses are forgotten after this time without a release.
constexpr Duration ForgetAfter = std::chrono::minutes(5);
// Members report their load every 10 s; one that the coordinator does not hear
// is on the other side of a cut.
constexpr Duration HeardWithin = std::chrono::seconds(12);

} // namespace

std::set<ConsentNeeded> GuardianRenewal::due(const Assignment &Current,
                                             const FactSet &Known,
                                             const LoadModel &Loads,
                                             Instant Now) {
  std::erase_if(this->Pauses, [&](const auto &Entry) {
    return Now - Entry.second.Until > ForgetAfter;
  });
  auto Heard = [&](MemberId Id) {
    std::optional<Instant> Last = Loads.lastHeard(Id);
    return Last && Now - *Last <= HeardWithin;
  };
  std::set<ConsentNeeded> Result;
  for (const Release &R : Known.snapshot().Releases) {
    const Member *Subject = Current.find(R.Member);
    ConsentNeeded Pair{R.By, R.Member};
    if (!Subject || Subject->Deposed || Known.isDeposed(R.Member) ||
        Known.isDeposed(R.By) || !Heard(R.Member) || !Heard(R.By) ||
        std::ranges::find(Subject->Guardians, Guardian{R.By, R.Term}) ==
            Subject->Guardians.end())
      continue;
    auto Paused = this->Pauses.find(Pair);
    if (Paused == this->Pauses.end() || Paused->second.Until <= Now)
      Result.insert(Pair);
  }
  return Result;
}

void GuardianRenewal::postpone(const ConsentNeeded &Pair, Instant Now) {
  Pause &P = this->Pauses[Pair];
  P.Length =
      P.Length.count() == 0 ? FirstPause : std::min(P.Length * 2, LongestPause);
  P.Until = Now + P.Length;
}

void GuardianRenewal::written(const std::set<ConsentNeeded> &Pairs,
                              Instant Now) {
  std::ranges::for_each(
      Pairs, [&](const ConsentNeeded &Pair) { this->postpone(Pair, Now); });
}

void GuardianRenewal::failed(const std::set<ConsentNeeded> &Wanted,
                             const std::set<ConsentNeeded> &Given,
                             Instant Now) {
  for (const ConsentNeeded &Pair : Wanted)
    if (!Given.contains(Pair))
      this->postpone(Pair, Now);
}

} // namespace orioledoor::ownership::internal
