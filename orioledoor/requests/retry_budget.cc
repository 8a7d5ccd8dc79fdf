// Token arithmetic of the retry budget.
#include "orioledoor/requests/retry_budget.h"

#include <algorithm>

namespace orioledoor::requests {

void RetryBudget::deposit(double Ratio) {
  this->Tokens = std::min(this->Tokens + Ratio, MaxTokens);
}

bool RetryBudget::withdraw(Instant Now) {
  double Seconds =
      std::chrono::duration<double>(Now - this->RefilledAt).count();
  this->RefilledAt = Now;
  if (this->Tokens < IdleTokens)
    this->Tokens = std::min(this->Tokens + Seconds, IdleTokens);
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

} // namespace orioledoor::requests
