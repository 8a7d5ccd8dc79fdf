// Power of two choices over the cached members of a service.
#include "orioledoor/requests/member_choice.h"

#include <algorithm>
#include <utility>

namespace orioledoor::requests {
namespace {

// One tick of the reducer; members change far less often.
constexpr Duration FreshFor = std::chrono::milliseconds(20);

} // namespace

bool MemberChoice::isFresh(ServiceId Service, Instant Now) const {
  auto Found = this->Services.find(Service);
  return Found != this->Services.end() &&
         Now - Found->second.NotedAt < FreshFor;
}

void MemberChoice::note(ServiceId Service,
                        std::vector<ownership::Route> Members, Instant Now) {
  Known &Entry = this->Services[Service];
  Entry.Members = std::move(Members);
  auto Others =
      std::ranges::partition(Entry.Members, [](const ownership::Route &Member) {
        return Member.SameRegion;
      });
  Entry.InRegion = Entry.Members.size() - Others.size();
  Entry.NotedAt = Now;
}

const ownership::Route *MemberChoice::choose(ServiceId Service,
                                             std::uint64_t Random,
                                             bool AnyRegion) const {
  auto Found = this->Services.find(Service);
  if (Found == this->Services.end() || Found->second.Members.empty())
    return nullptr;
  const Known &Entry = Found->second;
  std::size_t Count =
      AnyRegion || Entry.InRegion == 0 ? Entry.Members.size() : Entry.InRegion;
  const ownership::Route &First = Entry.Members[(Random >> 32) % Count];
  const ownership::Route &Second = Entry.Members[(Random & 0xffffffff) % Count];
  return this->loadOf(Second) < this->loadOf(First) ? &Second : &First;
}

void MemberChoice::ended(MemberId Member) {
  auto Found = this->Open.find(Member);
  if (Found != this->Open.end() && --Found->second == 0)
    this->Open.erase(Found);
}

std::uint32_t MemberChoice::loadOf(const ownership::Route &Member) const {
  auto Found = this->Open.find(Member.Owner);
  return Found == this->Open.end() ? 0 : Found->second;
}

} // namespace orioledoor::requests
