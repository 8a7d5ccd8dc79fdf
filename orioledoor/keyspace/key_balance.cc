// Greedy rebalancing: the target with the highest utilization gives the keys
// with the highest request rate per key to the target with the lowest.
#include "orioledoor/keyspace/key_balance.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace orioledoor::keyspace {
namespace {

// Utilization above which requests begin to wait for slots.
constexpr double MinOverloadUtilization = 0.7;
// Factor by which a target must exceed the mean utilization. Moved keys are not
// served for about a second, which a smaller excess does not justify.
constexpr double MinExcessFactor = 1.2;
// Moves per plan. Each one interrupts service of its keys for about a second.
constexpr int MaxMoves = 6;
// Rows per target. The answer to a report, 4 KiB, can list about 70.
constexpr std::size_t MaxRowsPerTarget = 40;

// A range of a target's keys with its share of the demand, in requests per
// second.
struct KeySegment {
  KeyRange Keys;
  double Rate = 0;
};

std::size_t countRows(const KeyMap &Map, const TargetRef &Target) {
  return static_cast<std::size_t>(
      std::ranges::count(Map.Rows, Target, &KeyRow::Owner));
}

// Splits the rows of a target at the quantiles of its demand. Rows with a
// pending move are left out.
std::vector<KeySegment> splitAtQuantiles(const KeyMap &Map,
                                         const TargetLoad &Load) {
  std::vector<KeySegment> Segments;
  double Share = Load.Rate / static_cast<double>(Load.Quantiles.size() + 1);
  for (const KeyRow &Row : Map.Rows) {
    if (Row.Owner != Load.Target || Row.Next)
      continue;
    std::uint32_t Start = Row.Keys.From;
    // A key that covers several quantiles is a hot key and becomes a segment of
    // its own with all their shares.
    for (std::size_t I = 0; I < Load.Quantiles.size(); ++I) {
      std::uint32_t Key = Load.Quantiles[I];
      if (!Row.Keys.contains(Key) || Key < Start)
        continue;
      double Rate = Share;
      while (I + 1 < Load.Quantiles.size() && Load.Quantiles[I + 1] == Key) {
        ++I;
        Rate += Share;
      }
      if (Rate > Share && Key > Start) {
        Segments.push_back({{Start, Key - 1}, 0});
        Start = Key;
      }
      Segments.push_back({{Start, Key}, Rate});
      Start = Key + 1;
    }
    if (Start <= Row.Keys.To)
      Segments.push_back({{Start, Row.Keys.To}, Share / 2});
  }
  return Segments;
}

// Returns the run of adjacent segments that has the highest request rate per
// key and whose total rate does not exceed MaxRate.
std::optional<KeySegment> chooseRun(std::span<const KeySegment> Segments,
                                    double MaxRate) {
  std::optional<KeySegment> Best;
  auto RatePerKey = [](const KeySegment &Segment) {
    return Segment.Rate /
           static_cast<double>(Segment.Keys.To - Segment.Keys.From + 1);
  };
  for (std::size_t First = 0; First < Segments.size(); ++First) {
    KeySegment Run = Segments[First];
    if (Run.Rate <= 0 || Run.Rate > MaxRate)
      continue;
    for (std::size_t Next = First + 1; Next < Segments.size(); ++Next) {
      const KeySegment &Segment = Segments[Next];
      if (Segment.Keys.From != Run.Keys.To + 1 ||
          Run.Rate + Segment.Rate > MaxRate)
        break;
      Run.Keys.To = Segment.Keys.To;
      Run.Rate += Segment.Rate;
    }
    // Prefers a run that covers at least half of MaxRate, since it makes a
    // further move unnecessary.
    bool CoversHalf = Run.Rate >= MaxRate / 2;
    bool BestCoversHalf = Best && Best->Rate >= MaxRate / 2;
    if (!Best || (CoversHalf && !BestCoversHalf) ||
        (CoversHalf == BestCoversHalf && RatePerKey(Run) > RatePerKey(*Best)))
      Best = Run;
  }
  return Best;
}

} // namespace

std::vector<KeyMove> planMoves(const KeyMap &Map,
                               std::span<const TargetLoad> Loads) {
  std::vector<KeyMove> Moves;
  std::vector<TargetLoad> ExpectedLoads(Loads.begin(), Loads.end());
  std::erase_if(ExpectedLoads,
                [](const TargetLoad &Load) { return Load.Capacity <= 0; });
  if (ExpectedLoads.size() < 2)
    return Moves;
  double TotalRate = 0;
  double TotalCapacity = 0;
  for (const TargetLoad &Load : ExpectedLoads) {
    TotalRate += Load.Rate;
    TotalCapacity += Load.Capacity;
  }
  double MeanUtilization = TotalRate / TotalCapacity;
  std::vector<std::vector<KeySegment>> Segments;
  Segments.reserve(ExpectedLoads.size());
  for (const TargetLoad &Load : ExpectedLoads)
    Segments.push_back(splitAtQuantiles(Map, Load));
  auto Utilization = [](const TargetLoad &Load) {
    return Load.Rate / Load.Capacity;
  };
  while (Moves.size() < MaxMoves) {
    auto Source = std::ranges::max_element(ExpectedLoads, {}, Utilization);
    auto Destination = std::ranges::min_element(ExpectedLoads, {}, Utilization);
    if (Source == Destination ||
        Utilization(*Source) <
            std::max(MinOverloadUtilization, MeanUtilization * MinExcessFactor))
      break;
    double RateToMove = std::min(
        (Utilization(*Source) - MeanUtilization) * Source->Capacity,
        (MeanUtilization - Utilization(*Destination)) * Destination->Capacity);
    auto &Candidates =
        Segments[static_cast<std::size_t>(Source - ExpectedLoads.begin())];
    std::optional<KeySegment> Run = chooseRun(Candidates, RateToMove);
    if (!Run ||
        countRows(Map, Destination->Target) + Moves.size() >=
            MaxRowsPerTarget ||
        countRows(Map, Source->Target) + Moves.size() >= MaxRowsPerTarget)
      break;
    Moves.push_back({Run->Keys, Source->Target, Destination->Target});
    Source->Rate -= Run->Rate;
    Destination->Rate += Run->Rate;
    std::erase_if(Candidates, [&Run](const KeySegment &Segment) {
      return Run->Keys.overlaps(Segment.Keys);
    });
  }
  return Moves;
}

} // namespace orioledoor::keyspace
