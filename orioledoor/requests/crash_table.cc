// Counts crashes per digest.
#include "orioledoor/requests/crash_table.h"

#include <algorithm>

namespace orioledoor::requests {

bool CrashTable::count(std::uint64_t Digest, std::uint64_t CrashId,
                       Instant Now) {
  this->expire(Now);
  Entry &Found = this->Entries[Digest];
  if (Found.CrashIds.size() >= QuarantineCount ||
      std::ranges::find(Found.CrashIds, CrashId) != Found.CrashIds.end())
    return false;
  Found.CrashIds.push_back(CrashId);
  Found.LastAt = Now;
  this->Order.emplace_back(Now, Digest);
  return Found.CrashIds.size() == QuarantineCount;
}

void CrashTable::suspect(std::uint64_t Digest, Instant Now) {
  auto Found = this->Entries.find(Digest);
  if (Found != this->Entries.end())
    Found->second.SuspectedUntil = Now + SuspectedFor;
}

CrashTable::Verdict CrashTable::judge(std::uint64_t Digest, Instant Now) const {
  auto Found = this->Entries.find(Digest);
  if (Found == this->Entries.end() || Now - Found->second.LastAt >= KeptFor)
    return Verdict::Clear;
  if (Found->second.CrashIds.size() >= QuarantineCount)
    return Verdict::Quarantined;
  return Now < Found->second.SuspectedUntil ? Verdict::Suspected
                                            : Verdict::Clear;
}

void CrashTable::expire(Instant Now) {
  while (!this->Order.empty() && Now - this->Order.front().first >= KeptFor) {
    auto Found = this->Entries.find(this->Order.front().second);
    if (Found != this->Entries.end() && Now - Found->second.LastAt >= KeptFor)
      this->Entries.erase(Found);
    this->Order.pop_front();
  }
}

} // namespace orioledoor::requests
