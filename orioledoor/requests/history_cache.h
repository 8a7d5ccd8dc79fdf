// What an entry node knows of the histories of slices, from answers.
#ifndef ORIOLEDOOR_REQUESTS_HISTORY_CACHE_H
#define ORIOLEDOOR_REQUESTS_HISTORY_CACHE_H

#include <algorithm>
#include <cstdint>
#include <unordered_map>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"

namespace orioledoor::requests {

// Not thread-safe. One entry a slice; all operations are constant.
class HistoryCache {
public:
  struct KnownHistory {
    std::uint64_t History = 0;
    // On the local clock; not before the true start.
    Instant Start;
  };

  // Notes that an answer, received now, names History with Age.
  void update(SliceRef Slice, std::uint64_t History, Duration Age,
              Instant Now) {
    KnownHistory &Entry = this->Entries[Slice];
    Instant Start = Now - Age;
    if (Entry.History == History)
      Start = std::min(Start, Entry.Start);
    Entry = KnownHistory{History, Start};
  }

  // History 0 if nothing is known.
  KnownHistory find(SliceRef Slice) const {
    auto Found = this->Entries.find(Slice);
    return Found == this->Entries.end() ? KnownHistory{} : Found->second;
  }

private:
  std::unordered_map<SliceRef, KnownHistory> Entries;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_HISTORY_CACHE_H
