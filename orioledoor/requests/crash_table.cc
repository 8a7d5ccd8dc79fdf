// Counting and expiry of crashes per request digest.
#include "orioledoor/requests/crash_table.h"

#include <algorithm>

namespace orioledoor::requests {

bool CrashTable::recordCrash(std::uint64_t Digest, std::uint64_t CrashId,
                             Instant Now) {
  this->expire(Now);
  Entry &Found = this->Entries[Digest];
  if (Found.CrashIds.size() >= QuarantineCount ||
      std::ranges::find(Found.CrashIds, CrashId) != Found.CrashIds.end())
    return false;
  Found.CrashIds.push_back(CrashId);
  Found.LastCrashAt = Now;
  this->CrashTimes.emplace_back(Now, Digest);
  return Found.CrashIds.size() == QuarantineCount;
}

void CrashTable::markSuspected(std::uint64_t Digest, Instant Now) {
  auto Found = this->Entries.find(Digest);
  if (Found != this->Entries.end())
    Found->second.SuspectedUntil = Now + SuspicionTimeout;
}

CrashTable::DigestState CrashTable::stateOf(std::uint64_t Digest,
                                            Instant Now) const {
  auto Found = this->Entries.find(Digest);
  if (Found == this->Entries.end() ||
      Now - Found->second.LastCrashAt >= RetentionTime)
    return DigestState::Clear;
  if (Found->second.CrashIds.size() >= QuarantineCount)
    return DigestState::Quarantined;
  return Now < Found->second.SuspectedUntil ? DigestState::Suspected
                                            : DigestState::Clear;
}

void CrashTable::expire(Instant Now) {
  while (!this->CrashTimes.empty() &&
         Now - this->CrashTimes.front().first >= RetentionTime) {
    auto Found = this->Entries.find(this->CrashTimes.front().second);
    if (Found != this->Entries.end() &&
        Now - Found->second.LastCrashAt >= RetentionTime)
      this->Entries.erase(Found);
    this->CrashTimes.pop_front();
  }
}

} // namespace orioledoor::requests
