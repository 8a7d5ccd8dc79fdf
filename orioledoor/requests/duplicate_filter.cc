// One replay window for each entry process and number of hops.
#include "orioledoor/requests/duplicate_filter.h"

namespace orioledoor::requests {
namespace {

constexpr Duration RetentionTime = std::chrono::minutes(10);

} // namespace

bool DuplicateFilter::accept(const Forward &Received, Instant Now) {
  Sender &Found = this->Senders[Received.EntryId + Received.Hops];
  Found.LastSeenAt = Now;
  return Found.Window.accept(Received.RequestId);
}

void DuplicateFilter::expire(Instant Now) {
  std::erase_if(this->Senders, [Now](const auto &Entry) {
    return Now - Entry.second.LastSeenAt > RetentionTime;
  });
}

} // namespace orioledoor::requests
