// Cache of the current history of each slice on an entry node, filled from
// answers. A history is the period for which the slice's operation table is
// complete; it gets a new identifier when the table is lost.
#ifndef ORIOLEDOOR_REQUESTS_HISTORY_CACHE_H
#define ORIOLEDOOR_REQUESTS_HISTORY_CACHE_H

#include <algorithm>
#include <cstdint>
#include <unordered_map>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"

namespace orioledoor::requests {

// Not thread-safe. Holds one entry per slice. All operations are constant.
class HistoryCache {
public:
  struct KnownHistory {
    std::uint64_t History = 0;
    // On the local clock; never earlier than the true start of the history.
    Instant Start;
  };

  // Stores History and Age of an answer that was received at Now.
  void update(SliceRef Slice, std::uint64_t History, Duration Age,
              Instant Now) {
    KnownHistory &Entry = this->Entries[Slice];
    Instant Start = Now - Age;
    if (Entry.History == History)
      Start = std::min(Start, Entry.Start);
    Entry = KnownHistory{History, Start};
  }

  // Returns History 0 if none is known.
  KnownHistory find(SliceRef Slice) const {
    auto Found = this->Entries.find(Slice);
    return Found == this->Entries.end() ? KnownHistory{} : Found->second;
  }

private:
  std::unordered_map<SliceRef, KnownHistory> Entries;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_HISTORY_CACHE_H
