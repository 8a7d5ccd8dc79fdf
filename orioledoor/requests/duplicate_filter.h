// Drops duplicated Forward messages.
//
// An answer of "not run" promises that no copy of the Forward runs later, so a
// node processes only the first copy that it receives.
#ifndef ORIOLEDOOR_REQUESTS_DUPLICATE_FILTER_H
#define ORIOLEDOOR_REQUESTS_DUPLICATE_FILTER_H

#include <cstdint>
#include <unordered_map>

#include "orioledoor/base/instant.h"
#include "orioledoor/requests/message.h"
#include "orioledoor/requests/replay_window.h"

namespace orioledoor::requests {

// Not thread-safe. Uses 4 KB for each entry process that sent a message in the
// last 10 minutes.
class DuplicateFilter {
public:
  // Returns true for the first copy with this number of hops. The hops are part
  // of the identity because a Forward that was passed on may come back with
  // more hops. Amortized constant.
  bool accept(const Forward &Received, Instant Now);

  // Removes the windows of entry processes that have sent nothing for 10
  // minutes. Linear in the number of windows.
  void expire(Instant Now);

private:
  struct Sender {
    ReplayWindow Window;
    Instant LastSeenAt;
  };

  // Keyed by the sum of EntryId and Hops.
  std::unordered_map<std::uint64_t, Sender> Senders;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_DUPLICATE_FILTER_H
