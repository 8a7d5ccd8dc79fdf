// Crash counts by request digest.
#include "orioledoor/routing/crash_guard.h"

#include <algorithm>

#include "orioledoor/base/ids.h"

namespace orioledoor::routing {
namespace {

// A target that crashed is restarted and reports its new start time within
// seconds.
constexpr Duration SuspicionTime = std::chrono::seconds(8);
constexpr Duration QuarantineTime = std::chrono::minutes(10);
// Requests that were only running next to the cause of a crash are counted
// once, so one crash is not enough. The platform tolerates three crashes.
constexpr std::uint32_t QuarantineThreshold = 2;

// Digests of answered requests are kept for one to two intervals.
constexpr Duration RotationInterval = std::chrono::seconds(30);
// Limit for one interval; at this size the sets are rotated early. A digest
// takes 32 bytes.
constexpr std::size_t MaxAnsweredDigests = 4096;

} // namespace

std::uint64_t crashDigest(std::string_view Caller,
                          const RequestContent &Content) {
  std::uint64_t Digest = stableHash(Caller);
  Digest = stableHash(Content.Method, Digest);
  Digest = stableHash(Content.Target, Digest);
  return stableHash(Content.Body, Digest);
}

void CrashGuard::noteBrokenCall(std::uint64_t Digest, Instant Now) {
  this->BrokenCalls.emplace_back(Digest, Now);
}

void CrashGuard::noteAnswered(std::uint64_t Digest, Instant Now) {
  if (Now - this->RotatedAt > RotationInterval ||
      this->Answered.size() >= MaxAnsweredDigests) {
    this->PreviouslyAnswered = std::exchange(this->Answered, {});
    this->RotatedAt = Now;
  }
  this->Answered.insert(Digest);
}

bool CrashGuard::wasAnsweredRecently(std::uint64_t Digest) const {
  return this->Answered.contains(Digest) ||
         this->PreviouslyAnswered.contains(Digest);
}

std::vector<CrashNotice> CrashGuard::noteTargetEnded(Instant Now) {
  std::vector<CrashNotice> Notices;
  for (const auto &[Digest, BrokeAt] : std::exchange(this->BrokenCalls, {})) {
    if (Now - BrokeAt > SuspicionTime || this->wasAnsweredRecently(Digest))
      continue;
    Record &Crash = this->Records[Digest];
    ++Crash.Crashes;
    Crash.LastAt = Now;
    Crash.Reported = true;
    Notices.push_back({.Digest = Digest, .Crashes = Crash.Crashes});
  }
  return Notices;
}

bool CrashGuard::clear(std::uint64_t Digest) {
  auto Found = this->Records.find(Digest);
  if (Found == this->Records.end())
    return false;
  bool Reported = Found->second.Reported;
  this->Records.erase(Found);
  return Reported;
}

void CrashGuard::merge(const CrashNotice &Notice, Instant Now) {
  Record &Crash = this->Records[Notice.Digest];
  // Two nodes that each observed a different crash both send a count of 1.
  Crash.Crashes = std::max(Crash.Crashes + 1, Notice.Crashes);
  Crash.LastAt = Now;
}

bool CrashGuard::isQuarantined(std::uint64_t Digest, Instant Now) const {
  auto Found = this->Records.find(Digest);
  return Found != this->Records.end() &&
         Found->second.Crashes >= QuarantineThreshold &&
         !this->wasAnsweredRecently(Digest) &&
         Now - Found->second.LastAt < QuarantineTime;
}

void CrashGuard::tick(Instant Now) {
  std::erase_if(this->BrokenCalls, [Now](const auto &Entry) {
    return Now - Entry.second > SuspicionTime;
  });
  std::erase_if(this->Records, [Now](const auto &Entry) {
    return Now - Entry.second.LastAt > QuarantineTime;
  });
}

} // namespace orioledoor::routing
