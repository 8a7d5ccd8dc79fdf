// Lookups in an assignment.
#include "orioledoor/ownership/assignment.h"

#include <algorithm>

namespace orioledoor::ownership {
namespace {

void appendIfAbsent(std::vector<MemberId> &List, MemberId Id) {
  if (Id && std::ranges::find(List, Id) == List.end())
    List.push_back(Id);
}

} // namespace

std::optional<std::size_t> SuccessionList::positionOf(MemberId Id) const {
  auto Found = std::ranges::find(this->Members, Id);
  if (Found == this->Members.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - this->Members.begin());
}

const Member *Assignment::find(MemberId Id) const {
  auto Found = std::ranges::lower_bound(this->Members, Id, {}, &Member::Id);
  return Found != this->Members.end() && Found->Id == Id ? &*Found : nullptr;
}

Member *Assignment::find(MemberId Id) {
  return const_cast<Member *>(std::as_const(*this).find(Id));
}

const Member *Assignment::findByToken(std::uint64_t Token) const {
  auto Found = std::ranges::find(this->Members, Token, &Member::Token);
  return Found == this->Members.end() ? nullptr : &*Found;
}

const ServiceSlices *Assignment::find(ServiceId Service) const {
  auto Found =
      std::ranges::find(this->Services, Service, &ServiceSlices::Service);
  return Found == this->Services.end() ? nullptr : &*Found;
}

ServiceSlices *Assignment::find(ServiceId Service) {
  return const_cast<ServiceSlices *>(std::as_const(*this).find(Service));
}

const SliceOwner *Assignment::find(SliceRef Slice) const {
  const ServiceSlices *Service = this->find(Slice.Service);
  if (!Service || Slice.Slice >= Service->Slices.size())
    return nullptr;
  return &Service->Slices[Slice.Slice];
}

bool Assignment::isDeposed(MemberId Id) const {
  if (!Id || Id.Value >= this->NextMemberId)
    return false;
  const Member *Found = this->find(Id);
  return !Found || Found->Deposed;
}

SuccessionList Assignment::successionOf(SliceRef Slice) const {
  SuccessionList Result;
  const SliceOwner *Recorded = this->find(Slice);
  if (!Recorded || !Recorded->Owner)
    return Result;
  Result.FencingNumber = Recorded->FencingNumber;
  Result.Members.push_back(Recorded->Owner);
  appendIfAbsent(Result.Members, Recorded->MoveTarget);
  const Member *Owner = this->find(Recorded->Owner);
  if (Owner && !Owner->Successors.empty())
    std::ranges::for_each(
        Owner->Successors[Slice.Slice % Owner->Successors.size()],
        [&](MemberId Id) { appendIfAbsent(Result.Members, Id); });
  return Result;
}

} // namespace orioledoor::ownership
