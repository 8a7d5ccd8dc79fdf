// Bounds the requests that one node sends to a second target, so that the sum
// over the fleet stays below a share of the load plus a constant.
//
//   Budget.noteRequest(Now);
//   if (Budget.take(Now)) ... // send once more
#ifndef ORIOLEDOOR_ROUTING_RETRY_BUDGET_H
#define ORIOLEDOOR_ROUTING_RETRY_BUDGET_H

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

struct RetryBudgetOptions {
  // Retries a request. The platform bounds the sum over the fleet; the caller
  // keeps a margin below it for calls that retried requests make.
  double Ratio = 0.1;
  // This node's part of the retries that are allowed without any load.
  double ExtraPerWindow = 2;
  Duration Window = std::chrono::seconds(10);
};

// A token bucket; constant time. One a service.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options);

  // A request arrived for its first try.
  void noteRequest();
  // Takes a retry out of the budget if there is one.
  bool take(Instant Now);
  double available(Instant Now);

private:
  void refill(Instant Now);

  RetryBudgetOptions Options;
  // Invariant: 0 to Capacity.
  double Tokens;
  double Capacity;
  Instant RefilledAt;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_RETRY_BUDGET_H
