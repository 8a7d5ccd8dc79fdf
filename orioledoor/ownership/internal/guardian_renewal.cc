// Exponential backoff for each pair of a guardian and a member.
#include "orioledoor/ownership/internal/guardian_renewal.h"

#include <algorithm>

#include "orioledoor/ownership/fact_set.h"
#include "orioledoor/ownership/load_model.h"

namespace orioledoor::ownership::internal {
namespace {

constexpr Duration InitialBackoff = std::chrono::seconds(1);
constexpr Duration MaxBackoff = std::chrono::seconds(30);
// A backoff is removed this long after it ended if there was no new release.
constexpr Duration BackoffResetTime = std::chrono::minutes(5);
// Members report their load every 10 s. A member without a recent report is
// assumed to be partitioned from the coordinator.
constexpr Duration MaxReportAge = std::chrono::seconds(12);

} // namespace

std::set<RequiredConsent>
GuardianRenewal::renewablePairs(const Assignment &Current, const FactSet &Known,
                                const LoadModel &Loads, Instant Now) {
  std::erase_if(this->Backoffs, [&](const auto &Entry) {
    return Now - Entry.second.Until > BackoffResetTime;
  });
  auto IsReachable = [&](MemberId Id) {
    std::optional<Instant> Last = Loads.lastHeard(Id);
    return Last && Now - *Last <= MaxReportAge;
  };
  std::set<RequiredConsent> Result;
  for (const Release &R : Known.snapshot().Releases) {
    const Member *Subject = Current.find(R.Member);
    RequiredConsent Pair{R.GuardianId, R.Member};
    if (!Subject || Subject->Deposed || Known.isDeposed(R.Member) ||
        Known.isDeposed(R.GuardianId) || !IsReachable(R.Member) ||
        !IsReachable(R.GuardianId) ||
        std::ranges::find(Subject->Guardians, Guardian{R.GuardianId, R.Term}) ==
            Subject->Guardians.end())
      continue;
    auto Found = this->Backoffs.find(Pair);
    if (Found == this->Backoffs.end() || Found->second.Until <= Now)
      Result.insert(Pair);
  }
  return Result;
}

void GuardianRenewal::increaseBackoff(const RequiredConsent &Pair,
                                      Instant Now) {
  Backoff &P = this->Backoffs[Pair];
  P.Length = P.Length.count() == 0 ? InitialBackoff
                                   : std::min(P.Length * 2, MaxBackoff);
  P.Until = Now + P.Length;
}

void GuardianRenewal::recordRenewals(const std::set<RequiredConsent> &Pairs,
                                     Instant Now) {
  std::ranges::for_each(Pairs, [&](const RequiredConsent &Pair) {
    this->increaseBackoff(Pair, Now);
  });
}

void GuardianRenewal::recordTimeouts(const std::set<RequiredConsent> &Requested,
                                     const std::set<RequiredConsent> &Received,
                                     Instant Now) {
  for (const RequiredConsent &Pair : Requested)
    if (!Received.contains(Pair))
      this->increaseBackoff(Pair, Now);
}

} // namespace orioledoor::ownership::internal
