// Greedy rebalancing: the target with the highest utilization gives the keys
// with the highest request rate per key to the target with the lowest.
#include "orioledoor/keyspace/key_balance.h"

#include <algorithm>
#include <optional>

namespace orioledoor::keyspace {
namespace {

// Utilization above which requests begin to wait for slots.
constexpr double MinOverloadUtilization = 0.7;
// Factor by which a target must exceed the mean utilization. Moved keys are not
// served for about a second, which a smaller excess does not justify.
constexpr double MinExcessFactor = 1.2;
// Moves per plan of a small service. Each one interrupts service of its keys
// for about a second.
constexpr std::size_t SmallServiceMoves = 6;
// Moves per plan of a large service. Each one ends with a write of the key map
// and a message to every node, most of them within the same second.
constexpr std::size_t LargeServiceMoves = 40;

// A range of a target's keys with its share of the demand, in requests per
// second.
struct KeySegment {
  KeyRange Keys;
  double Rate = 0;
};

// A target that can take part in moves. Rate and Rows include the moves that
// are planned.
struct Candidate {
  TargetRef Target;
  double Rate = 0;
  double Capacity = 0;
  std::size_t Rows = 0;
  std::vector<KeySegment> Segments;

  double utilization() const { return this->Rate / this->Capacity; }
};

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

// Returns the segments of a target that may move. A single key that has just
// moved is left out.
std::vector<KeySegment>
movableSegments(const KeyMap &Map, const TargetLoad &Load,
                std::span<const std::uint32_t> SettledKeys) {
  std::vector<KeySegment> Segments = splitAtQuantiles(Map, Load);
  std::erase_if(Segments, [SettledKeys](const KeySegment &Segment) {
    return Segment.Keys.From == Segment.Keys.To &&
           std::ranges::find(SettledKeys, Segment.Keys.From) !=
               SettledKeys.end();
  });
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

// Returns the segment with the lowest rate of all that contain demand.
std::optional<KeySegment>
smallestSegment(std::span<const KeySegment> Segments) {
  std::optional<KeySegment> Best;
  for (const KeySegment &Segment : Segments)
    if (Segment.Rate > 0 && (!Best || Segment.Rate < Best->Rate))
      Best = Segment;
  return Best;
}

// Utilization from which a target gives keys away.
double overloadUtilization(double MeanUtilization) {
  return std::max(MinOverloadUtilization, MeanUtilization * MinExcessFactor);
}

// Returns the keys that Source should give to Destination.
std::optional<KeySegment> chooseKeys(const Candidate &Source,
                                     const Candidate &Destination,
                                     double MeanUtilization) {
  double RateToMove = std::min(
      (Source.utilization() - MeanUtilization) * Source.Capacity,
      (MeanUtilization - Destination.utilization()) * Destination.Capacity);
  if (auto Run = chooseRun(Source.Segments, RateToMove))
    return Run;
  // The shares of a hot spot can exceed what any other target lacks to the
  // mean. Such a share is moved if it does not overload its new owner. A key
  // that would overload every target stays, and the other keys of its owner
  // move away.
  std::optional<KeySegment> Share = smallestSegment(Source.Segments);
  if (Share && (Destination.Rate + Share->Rate) / Destination.Capacity <
                   overloadUtilization(MeanUtilization))
    return Share;
  return std::nullopt;
}

} // namespace

std::size_t countRows(const KeyMap &Map, const TargetRef &Target) {
  return static_cast<std::size_t>(
      std::ranges::count(Map.Rows, Target, &KeyRow::Owner));
}

std::size_t maxMoves(std::size_t Targets) {
  // A skewed demand overloads a share of the targets, however many there are.
  return std::clamp(Targets, SmallServiceMoves, LargeServiceMoves);
}

std::vector<KeyMove> planMoves(const KeyMap &Map,
                               std::span<const TargetLoad> Loads,
                               std::span<const TargetRef> Busy,
                               std::span<const std::uint32_t> SettledKeys) {
  std::vector<KeyMove> Moves;
  double TotalRate = 0;
  double TotalCapacity = 0;
  std::vector<Candidate> Candidates;
  for (const TargetLoad &Load : Loads) {
    if (Load.Capacity <= 0)
      continue;
    TotalRate += Load.Rate;
    TotalCapacity += Load.Capacity;
    if (std::ranges::find(Busy, Load.Target) == Busy.end())
      Candidates.push_back(
          {.Target = Load.Target,
           .Rate = Load.Rate,
           .Capacity = Load.Capacity,
           .Rows = countRows(Map, Load.Target),
           .Segments = movableSegments(Map, Load, SettledKeys)});
  }
  double MeanUtilization = TotalRate / TotalCapacity;
  std::size_t MoveLimit = maxMoves(Loads.size());
  while (Moves.size() < MoveLimit && Candidates.size() >= 2) {
    auto [Destination, Source] =
        std::ranges::minmax_element(Candidates, {}, &Candidate::utilization);
    if (Source->utilization() < overloadUtilization(MeanUtilization))
      break;
    // Targets with the highest number of rows take no part in further moves.
    if (Source->Rows >= MaxRowsPerTarget ||
        Destination->Rows >= MaxRowsPerTarget) {
      Candidates.erase(Source->Rows >= MaxRowsPerTarget ? Source : Destination);
      continue;
    }
    std::optional<KeySegment> Run =
        chooseKeys(*Source, *Destination, MeanUtilization);
    if (!Run)
      break;
    Moves.push_back({Run->Keys, Source->Target, Destination->Target});
    Source->Rate -= Run->Rate;
    Destination->Rate += Run->Rate;
    ++Source->Rows;
    ++Destination->Rows;
    std::erase_if(Source->Segments, [&Run](const KeySegment &Segment) {
      return Run->Keys.overlaps(Segment.Keys);
    });
  }
  return Moves;
}

} // namespace orioledoor::keyspace
