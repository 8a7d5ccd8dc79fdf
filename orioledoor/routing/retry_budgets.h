// Retry budgets of a node, one for each service, and what they were used for.
//
//   Budgets.setFleetSize(295);
//   Budgets.noteArrival("consulta", Now);
//   if (Budgets.take("consulta", RetryReason::Lost, Now)) ... // retry
//   Budgets.chargeInherited("consulta", 0.2, Now);
//   Budgets.logUse(Now, Out);
#ifndef ORIOLEDOOR_ROUTING_RETRY_BUDGETS_H
#define ORIOLEDOOR_ROUTING_RETRY_BUDGETS_H

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "orioledoor/base/instant.h"
#include "orioledoor/routing/effect.h"
#include "orioledoor/routing/retry_budget.h"
#include "orioledoor/routing/retry_use.h"

namespace orioledoor::routing {

// Not thread-safe. Logarithmic in the number of services, except forEach() and
// logUse(), which are linear.
class RetryBudgets {
public:
  // A budget of some retries a second denies one this often while all of them
  // are in use.
  static constexpr Duration ShortTime = std::chrono::seconds(1);

  explicit RetryBudgets(RetryBudgetOptions Options) : Options(Options) {}

  // As in RetryBudget.
  void setFleetSize(std::size_t Nodes);
  // Records a request that has reached its first target.
  void noteArrival(std::string_view Service, Instant Now);
  // Consumes a retry from the budget and returns true, or returns false if
  // there is none.
  bool take(std::string_view Service, RetryReason Reason, Instant Now);
  // Charges a call that is a repeat with the probability Share, since the run
  // that makes it may be one.
  void chargeInherited(std::string_view Service, double Share, Instant Now);
  // Repeats of the service that are left at the moment; negative if more were
  // charged than the budget allows.
  double available(std::string_view Service, Instant Now) const;
  // Returns whether the budget is overdrawn, or has denied a retry less than
  // ShortTime ago.
  bool isShort(std::string_view Service, Instant Now) const;

  // Calls Visit(Service, RetryUse, Available) for each service.
  template <typename Visitor> void forEach(Instant Now, Visitor Visit) const {
    for (const auto &[Service, Entry] : this->Services)
      Visit(Service, Entry.Use, Entry.Budget.available(Now));
  }
  // Logs for each service what was used since the last line, at most once per
  // window of the budget.
  void logUse(Instant Now, Effects &Out);

private:
  struct ServiceEntry {
    RetryBudget Budget;
    RetryUse Use{};
    RetryUse Logged{};
    // Empty until a retry is denied.
    std::optional<Instant> DeniedAt{};
  };

  ServiceEntry &entryOf(std::string_view Service);

  RetryBudgetOptions Options;
  std::size_t FleetSize = 0;
  std::map<std::string, ServiceEntry, std::less<>> Services;
  Instant LoggedAt;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_RETRY_BUDGETS_H
