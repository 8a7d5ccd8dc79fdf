// Merging of two key maps by fencing token.
#include "orioledoor/keyspace/key_map_repair.h"

#include <algorithm>
#include <set>

namespace orioledoor::keyspace {

MergedKeyMap mergeNewest(const KeyMap &Known, const KeyMap &Document,
                         bool PreferDocument) {
  MergedKeyMap Result;
  Result.Map = Document;
  Result.Map.Rows.clear();
  Result.Map.LastFence = std::max(Known.LastFence, Document.LastFence);
  Result.Map.LastMark = std::max(Known.LastMark, Document.LastMark);
  Result.Newer.Service = Document.Service;
  Result.Newer.LastFence = Known.LastFence;
  Result.Newer.LastMark = Known.LastMark;
  // First keys of the ranges within which neither map changes.
  std::set<std::uint32_t> Starts;
  for (const KeyMap *Map : {&Known, &Document})
    for (const KeyRow &Row : Map->Rows) {
      Starts.insert(Row.Keys.From);
      Starts.insert(Row.Keys.To + 1);
    }
  for (auto Start = Starts.begin(); Start != Starts.end(); ++Start) {
    const KeyRow *Old = Document.find(*Start);
    const KeyRow *New = Known.find(*Start);
    if (!Old && !New)
      continue;
    bool IsNewer = New && (!Old || New->Fence > Old->Fence);
    bool TakesKnown =
        IsNewer || (New && !PreferDocument && New->Fence == Old->Fence);
    KeyRow Row = TakesKnown ? *New : *Old;
    // A range of a row has an end, which is the start of the next range.
    Row.Keys = {*Start, *std::next(Start) - 1};
    if (IsNewer)
      Result.Newer.Rows.push_back(Row);
    Result.Map.Rows.push_back(std::move(Row));
  }
  Result.Map.mergeAdjacentRows();
  return Result;
}

KeyMap repairedMap(KeyMap Newest, std::int64_t Era) {
  Newest.LastFence = std::max(Newest.LastFence + RepairStep, Era * RepairStep);
  Newest.LastMark = std::max(Newest.LastMark + RepairStep, Era * RepairStep);
  Newest.Era = Era;
  Newest.EraFence = Newest.LastFence;
  Newest.Lost.clear();
  return Newest;
}

void startEra(KeyMap &Map, const KeyMap &Before, std::int64_t Era) {
  Map.Era = Era;
  Map.EraFence = std::max(Before.LastFence, Era * RepairStep);
  Map.LastMark = std::max(Before.LastMark, Era * RepairStep);
  Map.LastFence += Map.EraFence;
  for (KeyRow &Row : Map.Rows)
    Row.Fence += Map.EraFence;
}

KeyMap rowsConcerning(const KeyMap &Newer, const KeyMap &Document,
                      std::string_view Node) {
  KeyMap Result = Newer;
  Result.Era = Result.EraFence = 0;
  std::erase_if(Result.Rows, [&](const KeyRow &Row) {
    const KeyRow *Old = Document.find(Row.Keys.From);
    return Row.Owner.Node != Node && !(Old && Old->Owner.Node == Node);
  });
  return Result;
}

} // namespace orioledoor::keyspace
