// Limits the retries that one node sends, so that the retries of all nodes stay
// below a fraction of the load plus a constant.
//
//   Budget.noteRequest();
//   if (Budget.take(Now)) ... // retry the request
#ifndef ORIOLEDOOR_ROUTING_RETRY_BUDGET_H
#define ORIOLEDOOR_ROUTING_RETRY_BUDGET_H

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

struct RetryBudgetOptions {
  // Retries per request. The platform limits the retries of all nodes together;
  // the owner of the budget configures a margin below that for calls that
  // retried requests make.
  double Ratio = 0.1;
  // Retries of this node that are allowed per window independently of the load.
  double ExtraPerWindow = 2;
  Duration Window = std::chrono::seconds(10);
};

// Token bucket for one service. All operations take constant time. Not
// thread-safe.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options);

  // Adds to the budget for a request's first attempt.
  void noteRequest();
  // Consumes one retry from the budget and returns true, or returns false if
  // there is none.
  bool take(Instant Now);
  // Tokens at the last call of take().
  double available() const { return this->Tokens; }

private:
  void refill(Instant Now);

  RetryBudgetOptions Options;
  // Invariant: between 0 and Capacity.
  double Tokens;
  double Capacity;
  Instant RefilledAt;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_RETRY_BUDGET_H
