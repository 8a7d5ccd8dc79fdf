// One replay window for each entry process and number of hops.
#include "orioledoor/requests/duplicate_filter.h"

namespace orioledoor::requests {
namespace {

constexpr Duration KeptFor = std::chrono::minutes(10);

} // namespace

bool DuplicateFilter::accept(const Forward &Sent, Instant Now) {
  Sender &Found = this->Senders[Sent.EntryId + Sent.Hops];
  Found.LastAt = Now;
  return Found.Window.accept(Sent.RequestId);
}

void DuplicateFilter::expire(Instant Now) {
  std::erase_if(this->Senders, [Now](const auto &Entry) {
    return Now - Entry.second.LastAt > KeptFor;
  });
}

} // namespace orioledoor::requests
