// Greedy balance: the most used target gives its densest keys to the least
// used one.
#include "orioledoor/keyspace/key_balance.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace orioledoor::keyspace {
namespace {

// Use beyond which requests begin to wait for slots.
constexpr double HighUse = 0.7;
// How far above the mean a target must be before a move is worth the second
// in which the moved keys are not served.
constexpr double WorthwhileExcess = 1.2;
// Moves in one plan. Each interrupts its keys for about a second.
constexpr int MaxMoves = 6;
// Rows of one target: a report's answer of 4 KiB lists about 70.
constexpr std::size_t MaxRowsPerTarget = 40;

// A piece of a target's keys with its part of the demand.
struct Piece {
  KeyRange Keys;
  double Rate = 0;
};

std::size_t rowsOf(const KeyMap &Map, const TargetRef &Target) {
  return static_cast<std::size_t>(
      std::ranges::count(Map.Rows, Target, &KeyRow::Owner));
}

// The owner's rows cut at the quantiles of its demand.
std::vector<Piece> piecesOf(const KeyMap &Map, const TargetLoad &Load) {
  std::vector<Piece> Pieces;
  double Share = Load.Rate / static_cast<double>(Load.Quantiles.size() + 1);
  for (const KeyRow &Row : Map.Rows) {
    if (Row.Owner != Load.Target || Row.Next)
      continue;
    std::uint32_t From = Row.Keys.From;
    // A key that is several quantiles at once is a hot key: it becomes a piece
    // of its own with all their shares.
    for (std::size_t I = 0; I < Load.Quantiles.size(); ++I) {
      std::uint32_t Key = Load.Quantiles[I];
      if (!Row.Keys.contains(Key) || Key < From)
        continue;
      double Rate = Share;
      while (I + 1 < Load.Quantiles.size() && Load.Quantiles[I + 1] == Key) {
        ++I;
        Rate += Share;
      }
      if (Rate > Share && Key > From) {
        Pieces.push_back({{From, Key - 1}, 0});
        From = Key;
      }
      Pieces.push_back({{From, Key}, Rate});
      From = Key + 1;
    }
    if (From <= Row.Keys.To)
      Pieces.push_back({{From, Row.Keys.To}, Share / 2});
  }
  return Pieces;
}

// The run of neighbouring pieces with the most demand a key whose demand fits
// into Wanted.
std::optional<Piece> pickRun(std::span<const Piece> Pieces, double Wanted) {
  std::optional<Piece> Best;
  auto Density = [](const Piece &Of) {
    return Of.Rate / static_cast<double>(Of.Keys.To - Of.Keys.From + 1);
  };
  for (std::size_t First = 0; First < Pieces.size(); ++First) {
    Piece Run = Pieces[First];
    if (Run.Rate <= 0 || Run.Rate > Wanted)
      continue;
    for (std::size_t Next = First + 1; Next < Pieces.size(); ++Next) {
      const Piece &Added = Pieces[Next];
      if (Added.Keys.From != Run.Keys.To + 1 || Run.Rate + Added.Rate > Wanted)
        break;
      Run.Keys.To = Added.Keys.To;
      Run.Rate += Added.Rate;
    }
    // A run that fills most of what is wanted spares a further move.
    bool Enough = Run.Rate >= Wanted / 2;
    bool BestEnough = Best && Best->Rate >= Wanted / 2;
    if (!Best || (Enough && !BestEnough) ||
        (Enough == BestEnough && Density(Run) > Density(*Best)))
      Best = Run;
  }
  return Best;
}

} // namespace

std::vector<KeyMove> planMoves(const KeyMap &Map,
                               std::span<const TargetLoad> Loads) {
  std::vector<KeyMove> Moves;
  std::vector<TargetLoad> Left(Loads.begin(), Loads.end());
  std::erase_if(Left,
                [](const TargetLoad &Each) { return Each.Capacity <= 0; });
  if (Left.size() < 2)
    return Moves;
  double Rate = 0;
  double Capacity = 0;
  for (const TargetLoad &Each : Left) {
    Rate += Each.Rate;
    Capacity += Each.Capacity;
  }
  double Mean = Rate / Capacity;
  std::vector<std::vector<Piece>> Pieces;
  Pieces.reserve(Left.size());
  for (const TargetLoad &Each : Left)
    Pieces.push_back(piecesOf(Map, Each));
  auto UseOf = [](const TargetLoad &Each) { return Each.Rate / Each.Capacity; };
  while (Moves.size() < MaxMoves) {
    auto From = std::ranges::max_element(Left, {}, UseOf);
    auto To = std::ranges::min_element(Left, {}, UseOf);
    if (From == To || UseOf(*From) < std::max(HighUse, Mean * WorthwhileExcess))
      break;
    double Wanted = std::min((UseOf(*From) - Mean) * From->Capacity,
                             (Mean - UseOf(*To)) * To->Capacity);
    auto &Candidates = Pieces[static_cast<std::size_t>(From - Left.begin())];
    std::optional<Piece> Run = pickRun(Candidates, Wanted);
    if (!Run || rowsOf(Map, To->Target) + Moves.size() >= MaxRowsPerTarget ||
        rowsOf(Map, From->Target) + Moves.size() >= MaxRowsPerTarget)
      break;
    Moves.push_back({Run->Keys, From->Target, To->Target});
    From->Rate -= Run->Rate;
    To->Rate += Run->Rate;
    std::erase_if(Candidates, [&Run](const Piece &Each) {
      return Run->Keys.overlaps(Each.Keys);
    });
  }
  return Moves;
}

} // namespace orioledoor::keyspace
