// Aggregates load samples and sends load reports.
#include "orioledoor/ownership/load_reporter.h"

#include <algorithm>
#include <numeric>

#include "orioledoor/ownership/node_state.h"

namespace orioledoor::ownership {
namespace {

constexpr Duration ReportInterval = std::chrono::seconds(10);
constexpr Duration LeavingReportInterval = std::chrono::seconds(1);
// Keeps a report near 300 B. The coordinator needs individual rates only for
// the busiest slices.
constexpr std::size_t MaxReportedSlices = 16;

} // namespace

void LoadReporter::handle(const LoadSampled &Sample) {
  this->TotalRate = std::accumulate(
      Sample.Slices.begin(), Sample.Slices.end(), 0.0,
      [](double Sum, const SliceLoad &Load) { return Sum + Load.Rate; });
  std::vector<SliceLoad> Top(std::min(MaxReportedSlices, Sample.Slices.size()));
  std::ranges::partial_sort_copy(
      Sample.Slices, Top, [](const SliceLoad &A, const SliceLoad &B) {
        return A.Rate != B.Rate ? A.Rate > B.Rate : A.Slice < B.Slice;
      });
  this->Busiest.clear();
  std::ranges::transform(Top, std::back_inserter(this->Busiest),
                         [](const SliceLoad &Load) {
                           return ReportedLoad{Load.Slice, Load.Rate};
                         });
}

void LoadReporter::tick(Instant Now, bool Leaving, Effects &Output) {
  if (!this->Node.Id || Now < this->NextReport)
    return;
  // Jitter spreads the reports of nodes that started at the same time.
  this->NextReport = Now + (Leaving ? LeavingReportInterval : ReportInterval) +
                     Duration(this->Node.Random() % 500'000);
  sendTo(this->Node, this->Node.Current->Coordinator,
         LoadReport{this->Node.Id, this->TotalRate, this->Busiest, Leaving},
         Output);
}

} // namespace orioledoor::ownership
