// Crash counts by request digest.
#include "orioledoor/routing/crash_guard.h"

#include <algorithm>

#include "orioledoor/base/ids.h"

namespace orioledoor::routing {
namespace {

// A target that crashed is restarted and reports its new start time within
// seconds.
constexpr Duration EvidenceTime = std::chrono::seconds(8);
constexpr Duration QuarantineTime = std::chrono::minutes(10);
// Requests that were only running next to the cause of a crash are counted
// once, so one crash is not enough. The platform tolerates three crashes.
constexpr std::uint32_t QuarantineAt = 2;

// Digests of answered requests are kept for one to two intervals.
constexpr Duration AnsweredTurn = std::chrono::seconds(30);
// Limit for one interval; at this size the sets are rotated early. A digest
// takes 32 bytes.
constexpr std::size_t MaxAnswered = 4096;

} // namespace

std::uint64_t crashDigest(std::string_view Caller, const RequestContent &Of) {
  std::uint64_t Digest = stableHash(Caller);
  Digest = stableHash(Of.Method, Digest);
  Digest = stableHash(Of.Target, Digest);
  return stableHash(Of.Body, Digest);
}

void CrashGuard::noteBroken(std::uint64_t Digest, Instant Now) {
  this->Broken.emplace_back(Digest, Now);
}

void CrashGuard::noteAnswered(std::uint64_t Digest, Instant Now) {
  if (Now - this->TurnedAt > AnsweredTurn ||
      this->Answered.size() >= MaxAnswered) {
    this->AnsweredBefore = std::exchange(this->Answered, {});
    this->TurnedAt = Now;
  }
  this->Answered.insert(Digest);
}

bool CrashGuard::answeredLately(std::uint64_t Digest) const {
  return this->Answered.contains(Digest) ||
         this->AnsweredBefore.contains(Digest);
}

std::vector<CrashNotice> CrashGuard::noteTargetEnded(Instant Now) {
  std::vector<CrashNotice> Notices;
  for (const auto &[Digest, At] : std::exchange(this->Broken, {})) {
    if (Now - At > EvidenceTime || this->answeredLately(Digest))
      continue;
    Record &Of = this->Records[Digest];
    ++Of.Crashes;
    Of.Last = Now;
    Notices.push_back({.Digest = Digest, .Crashes = Of.Crashes});
  }
  return Notices;
}

void CrashGuard::merge(const CrashNotice &Notice, Instant Now) {
  Record &Of = this->Records[Notice.Digest];
  // Two nodes that each observed a different crash both send a count of 1.
  Of.Crashes = std::max(Of.Crashes + 1, Notice.Crashes);
  Of.Last = Now;
}

bool CrashGuard::isQuarantined(std::uint64_t Digest, Instant Now) const {
  auto Found = this->Records.find(Digest);
  return Found != this->Records.end() &&
         Found->second.Crashes >= QuarantineAt &&
         !this->answeredLately(Digest) &&
         Now - Found->second.Last < QuarantineTime;
}

void CrashGuard::tick(Instant Now) {
  std::erase_if(this->Broken, [Now](const auto &Each) {
    return Now - Each.second > EvidenceTime;
  });
  std::erase_if(this->Records, [Now](const auto &Each) {
    return Now - Each.second.Last > QuarantineTime;
  });
}

} // namespace orioledoor::routing
