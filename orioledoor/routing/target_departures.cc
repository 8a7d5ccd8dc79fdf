// Implements the memory of departures.
#include "orioledoor/routing/target_departures.h"

#include <algorithm>
#include <ranges>

namespace orioledoor::routing {

void TargetDepartures::note(std::string_view Instance, std::int64_t StartedBy,
                            Instant Since) {
  // Other nodes repeat what they know, which must not displace other targets.
  bool IsKnown =
      std::ranges::any_of(this->Entries, [&](const Departure &Entry) {
        return Entry.Instance == Instance && Entry.StartedBy >= StartedBy &&
               Entry.Since <= Since;
      });
  if (IsKnown)
    return;
  if (this->Entries.size() == MaxEntries)
    this->Entries.pop_front();
  this->Entries.push_back({std::string(Instance), StartedBy, Since});
}

std::optional<Instant>
TargetDepartures::leavingSince(const TargetRef &Target) const {
  std::optional<Instant> Since;
  for (const Departure &Entry : this->Entries)
    if (Entry.Instance == Target.Instance &&
        Target.StartTimeMs <= Entry.StartedBy)
      Since = Since ? std::min(*Since, Entry.Since) : Entry.Since;
  return Since;
}

} // namespace orioledoor::routing
