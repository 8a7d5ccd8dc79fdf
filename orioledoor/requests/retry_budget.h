// Limits the retries of a service to a fraction of its requests.
#ifndef ORIOLEDOOR_REQUESTS_RETRY_BUDGET_H
#define ORIOLEDOOR_REQUESTS_RETRY_BUDGET_H

#include "orioledoor/base/instant.h"

namespace orioledoor::requests {

// Not thread-safe. All operations are constant.
class RetryBudget {
public:
  // Adds the tokens for one request of a service that allows Ratio retries per
  // request.
  void deposit(double Ratio);

  // Takes the token for one retry. Returns false if there is none.
  bool withdraw(Instant Now);

private:
  // The budget refills to this number of tokens at one a second, even without
  // traffic.
  static constexpr double IdleTokens = 10;
  // Limits the burst of retries after a long time without any.
  static constexpr double MaxTokens = 1000;

  double Tokens = IdleTokens;
  Instant RefilledAt;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_RETRY_BUDGET_H
