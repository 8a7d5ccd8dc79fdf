// Token arithmetic of the retry budget.
#include "orioledoor/requests/retry_budget.h"

#include <algorithm>

namespace orioledoor::requests {

void RetryBudget::deposit(double Ratio) {
  this->Tokens = std::min(this->Tokens + Ratio, Ceiling);
}

bool RetryBudget::withdraw(Instant Now) {
  double Seconds =
      std::chrono::duration<double>(Now - this->RefilledAt).count();
  this->RefilledAt = Now;
  if (this->Tokens < Floor)
    this->Tokens = std::min(this->Tokens + Seconds, Floor);
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

} // namespace orioledoor::requests
