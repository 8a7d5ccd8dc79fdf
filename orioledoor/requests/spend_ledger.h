// This node's shares of the daily spend of services.
//
// The coordinator records a share before it grants it, so what is lost here
// counts as spent and the sum of all shares never exceeds the day's spend.
#ifndef ORIOLEDOOR_REQUESTS_SPEND_LEDGER_H
#define ORIOLEDOOR_REQUESTS_SPEND_LEDGER_H

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"

namespace orioledoor::requests {

// Not thread-safe. All operations are constant.
class SpendLedger {
public:
  // Takes one unit; false if the held shares of Day are used up.
  bool trySpend(ServiceId Service, std::uint32_t Day);

  // Returns a unit of a request that did not run.
  void refund(ServiceId Service, std::uint32_t Day);

  // The amount to ask the coordinator for now; empty if enough is held or a
  // request is open. PerDay and Share are those of the catalogue entry and of
  // the node's slices.
  std::optional<std::uint64_t> amountToRequest(ServiceId Service,
                                               std::uint32_t Day,
                                               std::uint64_t PerDay,
                                               double Share, Instant Now);

  // Adds a granted share. Ignored if no request is open, since a duplicated
  // grant would otherwise count twice, or if it is for another day.
  void grant(ServiceId Service, std::uint64_t Amount, std::uint32_t Day);

private:
  struct Account {
    std::uint32_t Day = 0;
    std::uint64_t Balance = 0;
    bool RequestOpen = false;
    Instant RequestedAt{};
  };

  // The account of Day; what was held for another day is dropped.
  Account &accountOf(ServiceId Service, std::uint32_t Day);

  std::unordered_map<ServiceId, Account> Accounts;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_SPEND_LEDGER_H
