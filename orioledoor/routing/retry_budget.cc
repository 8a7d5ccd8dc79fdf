// Token bucket that is filled by requests and, at a low rate, by time.
#include "orioledoor/routing/retry_budget.h"

#include <algorithm>

namespace orioledoor::routing {
namespace {

// Limit for tokens saved from requests: a burst of retries after a target is
// lost must stay below the limit per window.
constexpr double MaxSavedTokens = 8;

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions Options)
    : Options(Options), Tokens(Options.ExtraPerWindow),
      Capacity(Options.ExtraPerWindow + MaxSavedTokens) {}

void RetryBudget::noteRequest() {
  this->Tokens = std::min(this->Capacity, this->Tokens + this->Options.Ratio);
}

void RetryBudget::refill(Instant Now) {
  if (Now <= this->RefilledAt)
    return;
  if (this->RefilledAt != Instant()) {
    double Windows = static_cast<double>((Now - this->RefilledAt).count()) /
                     static_cast<double>(this->Options.Window.count());
    // Time alone does not fill the bucket beyond ExtraPerWindow.
    double Limit = std::max(this->Tokens, this->Options.ExtraPerWindow);
    this->Tokens =
        std::min(Limit, this->Tokens + Windows * this->Options.ExtraPerWindow);
  }
  this->RefilledAt = Now;
}

bool RetryBudget::take(Instant Now) {
  this->refill(Now);
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

} // namespace orioledoor::routing
