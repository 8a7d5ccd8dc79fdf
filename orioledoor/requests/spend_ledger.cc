// Accounts of spend shares.
#include "orioledoor/requests/spend_ledger.h"

#include <algorithm>

namespace orioledoor::requests {
namespace {

// A share is this part of what the node's slices would use of a day.
constexpr double SharesPerDay = 64;
// An unanswered request for a share is repeated after this time.
constexpr Duration RepeatAfter = std::chrono::seconds(1);

} // namespace

SpendLedger::Account &SpendLedger::accountOf(ServiceId Service,
                                             std::uint32_t Day) {
  Account &Held = this->Accounts[Service];
  if (Held.Day != Day)
    Held = Account{.Day = Day};
  return Held;
}

bool SpendLedger::trySpend(ServiceId Service, std::uint32_t Day) {
  Account &Held = this->accountOf(Service, Day);
  if (Held.Held == 0)
    return false;
  --Held.Held;
  return true;
}

void SpendLedger::refund(ServiceId Service, std::uint32_t Day) {
  auto Found = this->Accounts.find(Service);
  if (Found != this->Accounts.end() && Found->second.Day == Day)
    ++Found->second.Held;
}

std::optional<std::uint64_t>
SpendLedger::amountToRequest(ServiceId Service, std::uint32_t Day,
                             std::uint64_t PerDay, double Share, Instant Now) {
  Account &Held = this->accountOf(Service, Day);
  auto Amount = std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(static_cast<double>(PerDay) * Share /
                                    SharesPerDay));
  if (Held.Held > Amount / 2 ||
      (Held.Requested && Now - Held.RequestedAt < RepeatAfter))
    return std::nullopt;
  Held.Requested = true;
  Held.RequestedAt = Now;
  return Amount;
}

void SpendLedger::grant(ServiceId Service, std::uint64_t Amount,
                        std::uint32_t Day) {
  auto Found = this->Accounts.find(Service);
  if (Found == this->Accounts.end() || Found->second.Day != Day ||
      !Found->second.Requested)
    return;
  Found->second.Requested = false;
  Found->second.Held += Amount;
}

} // namespace orioledoor::requests
