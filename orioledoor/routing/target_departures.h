// Remembers which incarnations of the target beside this node are leaving,
// whether or not they have reported to this process yet: a process that has
// just started may learn of a departure before it hears from the target.
//
//   Departures.note("i-7f3a91c2", 1764828790000, Now);
//   if (auto Since = Departures.leavingSince(Target)) ...
#ifndef ORIOLEDOOR_ROUTING_TARGET_DEPARTURES_H
#define ORIOLEDOOR_ROUTING_TARGET_DEPARTURES_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "orioledoor/base/instant.h"
#include "orioledoor/routing/target_ref.h"

namespace orioledoor::routing {

// A value type. Not thread-safe. Keeps the last MaxEntries departures; all
// functions take time linear in their number.
class TargetDepartures {
public:
  // Targets follow each other beside a node, so few departures matter at once.
  static constexpr std::size_t MaxEntries = 16;

  // Records that all incarnations of Instance that had started by StartedBy, in
  // Unix milliseconds by the clock of their VM, are leaving since Since.
  void note(std::string_view Instance, std::int64_t StartedBy, Instant Since);
  // Returns since when an incarnation has been leaving; empty if it is not
  // known to.
  std::optional<Instant> leavingSince(const TargetRef &Target) const;

private:
  struct Departure {
    std::string Instance;
    std::int64_t StartedBy = 0;
    Instant Since;
  };

  // Invariant: at most MaxEntries, the latest last.
  std::deque<Departure> Entries;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_DEPARTURES_H
