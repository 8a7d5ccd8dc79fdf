// Smooths load reports with an exponential moving average.
#include "orioledoor/ownership/load_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace orioledoor::ownership {
namespace {

// Time constant of the moving average.
constexpr Duration SmoothingTime = std::chrono::seconds(10);

// Returns the weight of a new sample that follows the previous one after
// Elapsed.
double newSampleWeight(Duration Elapsed) {
  return 1 - std::exp(-static_cast<double>(Elapsed.count()) /
                      static_cast<double>(SmoothingTime.count()));
}

} // namespace

void LoadModel::add(const LoadReport &Report, Instant Now) {
  auto [Entry, New] = this->LoadByMember.try_emplace(Report.From);
  MemberLoad &Load = Entry->second;
  double Weight = New ? 1 : newSampleWeight(Now - Load.At);
  Load.At = Now;
  Load.Total += Weight * (Report.TotalRate - Load.Total);

  std::unordered_map<SliceRef, double> Smoothed;
  for (const ReportedLoad &Slice : Report.Busiest) {
    auto Old = Load.Busiest.find(Slice.Slice);
    double Before = Old == Load.Busiest.end() ? 0 : Old->second;
    Smoothed[Slice.Slice] = Before + Weight * (Slice.Rate - Before);
  }
  Load.Busiest = std::move(Smoothed);
  Load.ReportedTotal = 0;
  for (const auto &[Slice, Rate] : Load.Busiest)
    Load.ReportedTotal += Rate;
}

double LoadModel::sliceRate(SliceRef Slice, MemberId Owner,
                            std::size_t SlicesOfOwner) const {
  auto Found = this->LoadByMember.find(Owner);
  if (Found == this->LoadByMember.end())
    return 0;
  const MemberLoad &Load = Found->second;
  auto Reported = Load.Busiest.find(Slice);
  if (Reported != Load.Busiest.end())
    return Reported->second;
  double Unreported = std::max(0.0, Load.Total - Load.ReportedTotal);
  std::size_t UnreportedCount = SlicesOfOwner > Load.Busiest.size()
                                    ? SlicesOfOwner - Load.Busiest.size()
                                    : 1;
  return Unreported / static_cast<double>(UnreportedCount);
}

std::optional<Instant> LoadModel::lastHeard(MemberId Member) const {
  auto Found = this->LoadByMember.find(Member);
  if (Found == this->LoadByMember.end())
    return std::nullopt;
  return Found->second.At;
}

} // namespace orioledoor::ownership
