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
  if (Found == this->Services.end())
    Found = this->Services
                .emplace(std::string(Service),
                         ServiceEntry{RetryBudget(this->Options)})
                .first;
  return Found->second;
}

void RetryBudgets::noteRequest(std::string_view Service) {
  this->entryOf(Service).Budget.noteRequest();
}

bool RetryBudgets::take(std::string_view Service, RetryReason Reason,
                        Instant Now) {
  ServiceEntry &Entry = this->entryOf(Service);
  if (!Entry.Budget.take(Now)) {
    ++Entry.Use.Denied;
    return false;
  }
  ++Entry.Use.Taken[static_cast<std::size_t>(Reason)];
  return true;
}

void RetryBudgets::noteInherited(std::string_view Service, double Share) {
  this->entryOf(Service).Use.Inherited += Share;
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
         {"denied", std::to_string(Entry.Use.Denied - Entry.Logged.Denied)},
         {"inherited", std::to_string(static_cast<std::uint64_t>(Inherited))},
         {"available", std::to_string(static_cast<std::int64_t>(
                           Entry.Budget.available()))}}});
    Entry.Logged = Entry.Use;
  }
}

} // namespace orioledoor::routing
