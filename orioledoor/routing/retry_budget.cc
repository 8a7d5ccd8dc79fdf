// Sliding counts of arrivals and repeats.
#include "orioledoor/routing/retry_budget.h"

namespace orioledoor::routing {

std::int64_t RetryBudget::sliceNumber(Instant At) const {
  return At.micros() * SlicesPerWindow / this->Options.Window.count();
}

RetryBudget::Slice &RetryBudget::sliceAt(Instant At) {
  std::int64_t Number = this->sliceNumber(At);
  Slice &Found =
      this->Slices[static_cast<std::size_t>(Number) % this->Slices.size()];
  if (Found.Number != Number)
    Found = {.Number = Number};
  return Found;
}

void RetryBudget::noteArrival(Instant Now) { ++this->sliceAt(Now).Arrivals; }

void RetryBudget::charge(double Repeats, Instant Now) {
  this->sliceAt(Now).Repeats += Repeats;
}

bool RetryBudget::take(Instant Now) {
  if (this->available(Now) < 1)
    return false;
  this->charge(1, Now);
  return true;
}

double RetryBudget::available(Instant Now) const {
  std::int64_t Current = this->sliceNumber(Now);
  double Left = this->FleetSize == 0 ? 0.0
                                     : this->Options.FleetExtra /
                                           static_cast<double>(this->FleetSize);
  // Of the slice in which the window begins, the repeats count and the arrivals
  // do not.
  for (const Slice &Each : this->Slices) {
    if (Each.Number < Current - SlicesPerWindow || Each.Number < 0)
      continue;
    Left -= Each.Repeats;
    if (Each.Number > Current - SlicesPerWindow)
      Left += this->Options.Ratio * Each.Arrivals;
  }
  return Left;
}

} // namespace orioledoor::routing
