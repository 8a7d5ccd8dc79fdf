// Table of refusals, evicted in order of age.
#include "orioledoor/routing/refused_requests.h"

namespace orioledoor::routing {
namespace {

// At 60 bytes each, the table takes 250 KB. An entry node of 87 that refuses
// half of 2,000 requests/s refuses 23 in the 2 s of the longest usual
// Retry-After, so the bound leaves room for a node that many callers use.
constexpr std::size_t MaxRefusals = 4096;

} // namespace

void RefusedRequests::add(std::uint64_t Hash, Instant Until, Instant Now) {
  this->Refusals[Hash] = {Until, Now};
  this->ByAge.emplace_back(Now, Hash);
  while (this->ByAge.size() > MaxRefusals) {
    auto [RefusedAt, Oldest] = this->ByAge.front();
    this->ByAge.pop_front();
    auto Found = this->Refusals.find(Oldest);
    if (Found != this->Refusals.end() && Found->second.RefusedAt == RefusedAt)
      this->Refusals.erase(Found);
  }
}

const RefusedRequests::Refusal *RefusedRequests::find(std::uint64_t Hash,
                                                      Instant Now) const {
  auto Found = this->Refusals.find(Hash);
  return Found == this->Refusals.end() || Now >= Found->second.Until
             ? nullptr
             : &Found->second;
}

} // namespace orioledoor::routing
