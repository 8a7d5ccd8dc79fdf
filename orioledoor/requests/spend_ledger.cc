// Accounting of spend shares.
#include "orioledoor/requests/spend_ledger.h"

#include <algorithm>

namespace orioledoor::requests {
namespace {

// A node asks for 1/64 of what its slices may spend in a day at a time.
constexpr double SharesPerDay = 64;
// A request for a share that was not answered is repeated after this time.
constexpr Duration RequestTimeout = std::chrono::seconds(1);

} // namespace

SpendLedger::Account &SpendLedger::accountOf(ServiceId Service,
                                             std::uint32_t Day) {
  Account &Current = this->Accounts[Service];
  if (Current.Day != Day)
    Current = Account{.Day = Day};
  return Current;
}

bool SpendLedger::trySpend(ServiceId Service, std::uint32_t Day) {
  Account &Current = this->accountOf(Service, Day);
  if (Current.Balance == 0)
    return false;
  --Current.Balance;
  return true;
}

void SpendLedger::refund(ServiceId Service, std::uint32_t Day) {
  auto Found = this->Accounts.find(Service);
  if (Found != this->Accounts.end() && Found->second.Day == Day)
    ++Found->second.Balance;
}

std::optional<std::uint64_t>
SpendLedger::amountToRequest(ServiceId Service, std::uint32_t Day,
                             std::uint64_t PerDay, double Share, Instant Now) {
  Account &Current = this->accountOf(Service, Day);
  auto Amount = std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(static_cast<double>(PerDay) * Share /
                                    SharesPerDay));
  if (Current.Balance > Amount / 2 ||
      (Current.RequestOpen && Now - Current.RequestedAt < RequestTimeout))
    return std::nullopt;
  Current.RequestOpen = true;
  Current.RequestedAt = Now;
  return Amount;
}

void SpendLedger::grant(ServiceId Service, std::uint64_t Amount,
                        std::uint32_t Day) {
  auto Found = this->Accounts.find(Service);
  if (Found == this->Accounts.end() || Found->second.Day != Day ||
      !Found->second.RequestOpen)
    return;
  Found->second.RequestOpen = false;
  Found->second.Balance += Amount;
}

} // namespace orioledoor::requests
