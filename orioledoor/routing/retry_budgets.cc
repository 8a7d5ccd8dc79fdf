// Counts and logs the use of retry budgets.
#include "orioledoor/routing/retry_budgets.h"

#include <cstddef>
#include <cstdint>
#include <utility>

#include "orioledoor/routing/events.h"
#include "orioledoor/routing/internal/log_text.h"

namespace orioledoor::routing {

RetryBudgets::ServiceEntry &RetryBudgets::entryOf(std::string_view Service) {
  auto Found = this->Services.find(Service);
  if (Found == this->Services.end()) {
    Found = this->Services
                .emplace(std::string(Service),
                         ServiceEntry{RetryBudget(this->Options)})
                .first;
    Found->second.Budget.setFleetSize(this->FleetSize);
  }
  return Found->second;
}

void RetryBudgets::setFleetSize(std::size_t Nodes) {
  this->FleetSize = Nodes;
  for (auto &[Service, Entry] : this->Services)
    Entry.Budget.setFleetSize(Nodes);
}

void RetryBudgets::noteArrival(std::string_view Service, Instant Now) {
  this->entryOf(Service).Budget.noteArrival(Now);
}

bool RetryBudgets::take(std::string_view Service, RetryReason Reason,
                        Instant Now) {
  ServiceEntry &Entry = this->entryOf(Service);
  if (!Entry.Budget.take(Now)) {
    ++Entry.Use.Denied;
    Entry.DeniedAt = Now;
    return false;
  }
  ++Entry.Use.Taken[static_cast<std::size_t>(Reason)];
  return true;
}

void RetryBudgets::chargeInherited(std::string_view Service, double Share,
                                   Instant Now) {
  ServiceEntry &Entry = this->entryOf(Service);
  Entry.Use.Inherited += Share;
  Entry.Budget.charge(Share, Now);
}

double RetryBudgets::available(std::string_view Service, Instant Now) const {
  if (auto Found = this->Services.find(Service); Found != this->Services.end())
    return Found->second.Budget.available(Now);
  RetryBudget Unused(this->Options);
  Unused.setFleetSize(this->FleetSize);
  return Unused.available(Now);
}

bool RetryBudgets::isShort(std::string_view Service, Instant Now) const {
  auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return false;
  const ServiceEntry &Entry = Found->second;
  return (Entry.DeniedAt && Now - *Entry.DeniedAt < ShortTime) ||
         Entry.Budget.available(Now) < 0;
}

void RetryBudgets::logUse(Instant Now, Effects &Out) {
  if (Now - this->LoggedAt < this->Options.Window)
    return;
  this->LoggedAt = Now;
  for (auto &[Service, Entry] : this->Services) {
    if (Entry.Use == Entry.Logged)
      continue;
    auto Difference = [&Entry](RetryReason Reason) {
      auto Index = static_cast<std::size_t>(Reason);
      return std::to_string(Entry.Use.Taken[Index] - Entry.Logged.Taken[Index]);
    };
    double Inherited = Entry.Use.Inherited - Entry.Logged.Inherited;
    Out.push_back(LogRecord{
        &events::RetryBudgetUsed,
        {{"service", Service},
         {"window_ms", internal::millis(this->Options.Window)},
         {"refused", Difference(RetryReason::Refused)},
         {"failed", Difference(RetryReason::Failed)},
         {"lost", Difference(RetryReason::Lost)},
         {"key_moved", Difference(RetryReason::KeyMoved)},
         {"denied", std::to_string(Entry.Use.Denied - Entry.Logged.Denied)},
         {"inherited", std::to_string(static_cast<std::uint64_t>(Inherited))},
         {"available", std::to_string(static_cast<std::int64_t>(
                           Entry.Budget.available(Now)))}}});
    Entry.Logged = Entry.Use;
  }
}

} // namespace orioledoor::routing
