// Smooths load reports with an exponential moving average.
#include "orioledoor/ownership/load_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace orioledoor::ownership {
namespace {

// Time constant of the moving average.
constexpr Duration SmoothingTime = std::chrono::seconds(10);

// The part of the new value that counts after Elapsed.
double newPart(Duration Elapsed) {
  return 1 - std::exp(-static_cast<double>(Elapsed.count()) /
                      static_cast<double>(SmoothingTime.count()));
}

} // namespace

void LoadModel::add(const LoadReport &Report, Instant Now) {
  auto [Entry, New] = this->Reported.try_emplace(Report.From);
  MemberLoad &Load = Entry->second;
  double Part = New ? 1 : newPart(Now - Load.At);
  Load.At = Now;
  Load.Total += Part * (Report.TotalRate - Load.Total);

  std::unordered_map<SliceRef, double> Smoothed;
  for (const ReportedLoad &Slice : Report.Busiest) {
    auto Old = Load.Busiest.find(Slice.Slice);
    double Before = Old == Load.Busiest.end() ? 0 : Old->second;
    Smoothed[Slice.Slice] = Before + Part * (Slice.Rate - Before);
  }
  Load.Busiest = std::move(Smoothed);
  Load.Named = 0;
  for (const auto &[Slice, Rate] : Load.Busiest)
    Load.Named += Rate;
}

double LoadModel::sliceRate(SliceRef Slice, MemberId Owner,
                            std::size_t SlicesOfOwner) const {
  auto Found = this->Reported.find(Owner);
  if (Found == this->Reported.end())
    return 0;
  const MemberLoad &Load = Found->second;
  auto Named = Load.Busiest.find(Slice);
  if (Named != Load.Busiest.end())
    return Named->second;
  double Rest = std::max(0.0, Load.Total - Load.Named);
  std::size_t Others = SlicesOfOwner > Load.Busiest.size()
                           ? SlicesOfOwner - Load.Busiest.size()
                           : 1;
  return Rest / static_cast<double>(Others);
}

std::optional<Instant> LoadModel::lastHeard(MemberId Member) const {
  auto Found = this->Reported.find(Member);
  if (Found == this->Reported.end())
    return std::nullopt;
  return Found->second.At;
}

} // namespace orioledoor::ownership
