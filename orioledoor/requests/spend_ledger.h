// This node's shares of the daily spend of services.
//
// The coordinator records a share before it grants it. A share that is lost
// here therefore counts as spent, and the sum of all shares never exceeds the
// spend of the day.
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
  // Takes one unit. Returns false if the node's shares of Day are used up.
  bool trySpend(ServiceId Service, std::uint32_t Day);

  // Returns the unit of a request that did not run.
  void refund(ServiceId Service, std::uint32_t Day);

  // Returns the amount to request from the coordinator now, or nothing if the
  // balance is sufficient or a request is open. PerDay is the limit in the
  // catalogue entry; Share is the fraction of the service's slices that the
  // node owns.
  std::optional<std::uint64_t> amountToRequest(ServiceId Service,
                                               std::uint32_t Day,
                                               std::uint64_t PerDay,
                                               double Share, Instant Now);

  // Adds a granted share. Ignored if no request is open, since a duplicated
  // grant would be counted twice otherwise, or if the grant is for another day.
  void grant(ServiceId Service, std::uint64_t Amount, std::uint32_t Day);

private:
  struct Account {
    std::uint32_t Day = 0;
    std::uint64_t Balance = 0;
    bool RequestOpen = false;
    Instant RequestedAt{};
  };

  // Returns the account of Day. The balance of another day is discarded.
  Account &accountOf(ServiceId Service, std::uint32_t Day);

  std::unordered_map<ServiceId, Account> Accounts;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_SPEND_LEDGER_H
