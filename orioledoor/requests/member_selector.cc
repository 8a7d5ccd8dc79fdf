// Power of two choices over the cached members of a service.
#include "orioledoor/requests/member_selector.h"

#include <algorithm>
#include <utility>

namespace orioledoor::requests {
namespace {

// One tick of the reducer; members change far less often.
constexpr Duration CacheLifetime = std::chrono::milliseconds(20);

} // namespace

bool MemberSelector::isFresh(ServiceId Service, Instant Now) const {
  auto Found = this->Services.find(Service);
  return Found != this->Services.end() &&
         Now - Found->second.UpdatedAt < CacheLifetime;
}

void MemberSelector::update(ServiceId Service,
                            std::vector<ownership::Route> Members,
                            Instant Now) {
  ServiceMembers &Entry = this->Services[Service];
  Entry.Members = std::move(Members);
  auto Others =
      std::ranges::partition(Entry.Members, [](const ownership::Route &Member) {
        return Member.SameRegion;
      });
  Entry.SameRegionCount = Entry.Members.size() - Others.size();
  Entry.UpdatedAt = Now;
}

const ownership::Route *MemberSelector::choose(ServiceId Service,
                                               std::uint64_t Random,
                                               bool AnyRegion) const {
  auto Found = this->Services.find(Service);
  if (Found == this->Services.end() || Found->second.Members.empty())
    return nullptr;
  const ServiceMembers &Entry = Found->second;
  std::size_t Count = AnyRegion || Entry.SameRegionCount == 0
                          ? Entry.Members.size()
                          : Entry.SameRegionCount;
  const ownership::Route &First = Entry.Members[(Random >> 32) % Count];
  const ownership::Route &Second = Entry.Members[(Random & 0xffffffff) % Count];
  return this->loadOf(Second) < this->loadOf(First) ? &Second : &First;
}

void MemberSelector::tryEnded(MemberId Member) {
  auto Found = this->OpenTries.find(Member);
  if (Found != this->OpenTries.end() && --Found->second == 0)
    this->OpenTries.erase(Found);
}

std::uint32_t MemberSelector::loadOf(const ownership::Route &Member) const {
  auto Found = this->OpenTries.find(Member.Owner);
  return Found == this->OpenTries.end() ? 0 : Found->second;
}

} // namespace orioledoor::requests
