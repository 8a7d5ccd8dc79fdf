// Lets each copy of a Forward be acted on once, whatever the network does.
//
// An answer "not run" promises that no copy of the Forward runs later, so a
// node acts on a Forward only when it first arrives.
#ifndef ORIOLEDOOR_REQUESTS_DUPLICATE_FILTER_H
#define ORIOLEDOOR_REQUESTS_DUPLICATE_FILTER_H

#include <cstdint>
#include <unordered_map>

#include "orioledoor/base/instant.h"
#include "orioledoor/requests/message.h"
#include "orioledoor/requests/replay_window.h"

namespace orioledoor::requests {

// Not thread-safe. 4 KB for each entry process that sent something lately.
class DuplicateFilter {
public:
  // True for the first copy with this number of hops. A Forward that was passed
  // on may return with more hops. Amortised constant.
  bool accept(const Forward &Received, Instant Now);

  // Drops the windows of entry processes that have been silent for 10 minutes.
  // Linear in their number.
  void expire(Instant Now);

private:
  struct Sender {
    ReplayWindow Window;
    Instant LastSeenAt;
  };

  // Keyed by EntryId and Hops.
  std::unordered_map<std::uint64_t, Sender> Senders;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_DUPLICATE_FILTER_H
