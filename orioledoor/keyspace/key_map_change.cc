// Comparison and replacement of rows.
#include "orioledoor/keyspace/key_map_change.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "orioledoor/base/ids.h"

namespace orioledoor::keyspace {
namespace {

// The multiplier is the odd number closest to 2^64 divided by the golden ratio.
std::uint64_t combineHashes(std::uint64_t Sum, std::uint64_t Number) {
  constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15;
  Sum = (Sum ^ Number) * Multiplier;
  return Sum ^ (Sum >> 32);
}

} // namespace

KeyMap changeBetween(const KeyMap &Before, const KeyMap &After) {
  KeyMap Change = After;
  std::erase_if(Change.Rows, [&Before](const KeyRow &Row) {
    const KeyRow *Old = Before.find(Row.Keys.From);
    return Old && *Old == Row;
  });
  return Change;
}

std::optional<KeyMap> applyChange(const KeyMap &Before, const KeyMap &Change,
                                  std::uint64_t Checksum) {
  KeyMap After = Change;
  std::vector<KeyRow> Kept;
  // Both lists of rows are sorted, so one pass finds the overlaps.
  auto Replacing = Change.Rows.begin();
  for (const KeyRow &Row : Before.Rows) {
    while (Replacing != Change.Rows.end() && Replacing->Keys.To < Row.Keys.From)
      ++Replacing;
    if (Replacing == Change.Rows.end() || !Replacing->Keys.overlaps(Row.Keys))
      Kept.push_back(Row);
  }
  After.Rows.clear();
  std::ranges::merge(
      Kept, Change.Rows, std::back_inserter(After.Rows), {},
      [](const KeyRow &Row) { return Row.Keys.From; },
      [](const KeyRow &Row) { return Row.Keys.From; });
  if (checksum(After) != Checksum)
    return std::nullopt;
  return After;
}

std::uint64_t checksum(const KeyMap &Map) {
  std::uint64_t Sum = stableHash(Map.Service);
  auto AddNumber = [&Sum](std::int64_t Number) {
    Sum = combineHashes(Sum, static_cast<std::uint64_t>(Number));
  };
  auto AddTarget = [&Sum, &AddNumber](const TargetRef &Target) {
    Sum = stableHash(Target.Instance, Sum);
    AddNumber(Target.StartTimeMs);
    Sum = stableHash(Target.Node, Sum);
  };
  AddNumber(Map.LastFence);
  AddNumber(Map.LastMark);
  // Without an era, the checksum is the one of earlier releases.
  if (Map.Era != 0) {
    AddNumber(Map.Era);
    AddNumber(Map.EraFence);
  }
  for (const KeyRow &Row : Map.Rows) {
    AddNumber(Row.Keys.From);
    AddNumber(Row.Keys.To);
    AddNumber(Row.Fence);
    AddTarget(Row.Owner);
    Sum = stableHash(Row.Handover, Sum);
    AddTarget(Row.Next);
  }
  for (const LostTarget &Lost : Map.Lost) {
    AddTarget(Lost.Target);
    AddNumber(Lost.Mark);
  }
  return Sum;
}

} // namespace orioledoor::keyspace
