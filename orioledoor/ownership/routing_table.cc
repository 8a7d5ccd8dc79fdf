// Determines the owner of each slice: the first live member of its succession
// list that has not yielded it.
#include "orioledoor/ownership/routing_table.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

#include "orioledoor/ownership/node_state.h"

namespace orioledoor::ownership {
namespace {

constexpr std::uint32_t NoOwner = std::numeric_limits<std::uint32_t>::max();

} // namespace

std::vector<OwnedSlice> RoutingTable::rebuild(const NodeState &Node,
                                              const HasYielded &Yielded) {
  const Assignment &Current = *Node.Current;
  const Member *Self = Node.self();
  this->Routes.clear();
  // A hash table avoids a binary search for each of 65,536 slices.
  std::unordered_map<MemberId, std::uint32_t> LiveIndex;
  for (const Member &M : Current.Members) {
    bool Local = Self && M.Id == Self->Id;
    if (!Node.isDeposed(M.Id))
      LiveIndex.emplace(M.Id, static_cast<std::uint32_t>(this->Routes.size()));
    this->Routes.push_back(
        {M.Id, M.PeerAddress, Local, M.Region == Node.Self.Region});
  }
  std::vector<OwnedSlice> OwnSlices;
  this->Services.clear();
  for (const ServiceSlices &Recorded : Current.Services) {
    ServiceTable &Table = this->Services.emplace_back();
    Table.Service = Recorded.Service;
    Table.Owners.assign(Recorded.Slices.size(), NoOwner);
    std::size_t OwnSlicesBefore = OwnSlices.size();
    for (std::uint32_t I = 0; I < Recorded.Slices.size(); ++I) {
      SliceRef Slice{Recorded.Service, I};
      const SliceOwner &Owner = Recorded.Slices[I];
      auto Live = LiveIndex.find(Owner.Owner);
      std::size_t Position = 0;
      if (Live == LiveIndex.end() ||
          ((Owner.MoveTarget || (Self && Owner.Owner == Self->Id)) &&
           Yielded(Slice, Owner))) {
        // Only slices whose first member is deposed or has yielded need the
        // whole list.
        SuccessionList List = Current.successionOf(Slice);
        do
          Live = ++Position < List.Members.size()
                     ? LiveIndex.find(List.Members[Position])
                     : LiveIndex.end();
        while (Live == LiveIndex.end() && Position < List.Members.size());
      }
      if (Live == LiveIndex.end())
        continue;
      Table.Owners[I] = Live->second;
      if (Self && Live->first == Self->Id)
        OwnSlices.push_back({Slice,
                             Fence{Owner.FencingNumber.Value +
                                   static_cast<std::uint32_t>(Position)},
                             Position});
    }
    if (!Table.Owners.empty())
      Table.OwnedShare =
          static_cast<double>(OwnSlices.size() - OwnSlicesBefore) /
          static_cast<double>(Table.Owners.size());
  }
  for (const Member &M : Current.Members) {
    auto Live = LiveIndex.find(M.Id);
    auto Table =
        std::ranges::find(this->Services, M.Service, &ServiceTable::Service);
    if (Live != LiveIndex.end() && Table != this->Services.end() && !M.Leaving)
      Table->Members.push_back(Live->second);
  }
  return OwnSlices;
}

void RoutingTable::assign(SliceRef Slice, MemberId Owner) {
  auto Table =
      std::ranges::find(this->Services, Slice.Service, &ServiceTable::Service);
  auto To = std::ranges::lower_bound(this->Routes, Owner, {}, &Route::Owner);
  if (Table == this->Services.end() || Slice.Slice >= Table->Owners.size() ||
      To == this->Routes.end() || To->Owner != Owner)
    return;
  std::uint32_t &Entry = Table->Owners[Slice.Slice];
  bool WasLocal = Entry != NoOwner && this->Routes[Entry].Local;
  double Part = 1 / static_cast<double>(Table->Owners.size());
  Table->OwnedShare += (To->Local ? Part : 0) - (WasLocal ? Part : 0);
  Entry = static_cast<std::uint32_t>(To - this->Routes.begin());
}

const RoutingTable::ServiceTable *RoutingTable::find(ServiceId Service) const {
  auto Found =
      std::ranges::find(this->Services, Service, &ServiceTable::Service);
  return Found == this->Services.end() ? nullptr : &*Found;
}

std::optional<Route> RoutingTable::route(SliceRef Slice) const {
  const ServiceTable *Table = this->find(Slice.Service);
  if (!Table || Slice.Slice >= Table->Owners.size() ||
      Table->Owners[Slice.Slice] == NoOwner)
    return std::nullopt;
  return this->Routes[Table->Owners[Slice.Slice]];
}

std::vector<Route> RoutingTable::membersOf(ServiceId Service) const {
  std::vector<Route> Result;
  if (const ServiceTable *Table = this->find(Service))
    std::ranges::transform(
        Table->Members, std::back_inserter(Result),
        [&](std::uint32_t Index) { return this->Routes[Index]; });
  return Result;
}

double RoutingTable::ownedShare(ServiceId Service) const {
  const ServiceTable *Table = this->find(Service);
  return Table ? Table->OwnedShare : 0;
}

} // namespace orioledoor::ownership
