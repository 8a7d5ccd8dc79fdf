// Retry budgets of a node, one for each service, and what they were used for.
//
//   Budgets.noteRequest("consulta");
//   if (Budgets.take("consulta", RetryReason::Lost, Now)) ... // retry
//   Budgets.noteInherited("consulta", 0.2);
//   Budgets.logUse(Now, Out);
#ifndef ORIOLEDOOR_ROUTING_RETRY_BUDGETS_H
#define ORIOLEDOOR_ROUTING_RETRY_BUDGETS_H

#include <functional>
#include <map>
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
  explicit RetryBudgets(RetryBudgetOptions Options) : Options(Options) {}

  // Adds to the budget for a request's first attempt.
  void noteRequest(std::string_view Service);
  // Consumes a retry from the budget and returns true, or returns false if
  // there is none.
  bool take(std::string_view Service, RetryReason Reason, Instant Now);
  // Records a call that is a repeat with the probability Share, since the run
  // that makes it may be one.
  void noteInherited(std::string_view Service, double Share);

  // Calls Visit(Service, RetryUse, Available) for each service.
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const auto &[Service, Entry] : this->Services)
      Visit(Service, Entry.Use, Entry.Budget.available());
  }
  // Logs for each service what was used since the last line, at most once per
  // window of the budget.
  void logUse(Instant Now, Effects &Out);

private:
  struct ServiceEntry {
    RetryBudget Budget;
    RetryUse Use{};
    RetryUse Logged{};
  };

  ServiceEntry &entryOf(std::string_view Service);

  RetryBudgetOptions Options;
  std::map<std::string, ServiceEntry, std::less<>> Services;
  Instant LoggedAt;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_RETRY_BUDGETS_H
