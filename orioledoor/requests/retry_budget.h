// Bounds the retries of a service to a share of its requests.
#ifndef ORIOLEDOOR_REQUESTS_RETRY_BUDGET_H
#define ORIOLEDOOR_REQUESTS_RETRY_BUDGET_H

#include "orioledoor/base/instant.h"

namespace orioledoor::requests {

// Not thread-safe. All operations are constant.
class RetryBudget {
public:
  // Notes one request of a service that allows Ratio retries per request.
  void deposit(double Ratio);

  // Takes the token of one retry; false if there is none.
  bool withdraw(Instant Now);

private:
  // Tokens available without traffic, refilled at one a second.
  static constexpr double IdleTokens = 10;
  // Bounds the burst after a long time without retries.
  static constexpr double MaxTokens = 1000;

  double Tokens = IdleTokens;
  Instant RefilledAt;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_RETRY_BUDGET_H
