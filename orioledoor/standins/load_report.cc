// Sums and quantiles of the load tool.
#include "orioledoor/standins/load_report.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>
#include <ostream>
#include <string>

namespace orioledoor::standins {
namespace {

// The smallest value that at least Share of the sorted values do not exceed;
// 0 if there are none.
std::uint32_t quantile(std::span<const std::uint32_t> Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  auto Rank =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size()));
  return Sorted[std::min(Rank, Sorted.size() - 1)];
}

double secondsOf(const timeval &Time) {
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_usec) / 1e6;
}

std::string nameOf(int Status) {
  switch (Status) {
  case 0:
    return "no connection";
  case -1:
    return "failed connection";
  case -2:
    return "not sent in time";
  default:
    return "status " + std::to_string(Status);
  }
}

} // namespace

void LoadReport::add(const LoadSample &Sample) {
  Second &Slot = this->Seconds[Sample.Second];
  ++Slot.Requests;
  ++this->ByStatus[Sample.Status];
  if (Sample.Misrouted) {
    ++Slot.Misrouted;
    ++this->Misrouted;
  }
  if (Sample.Status > 0 && Sample.Status < 500)
    Slot.Latencies.push_back(static_cast<std::uint32_t>(std::min<std::int64_t>(
        Sample.Latency.count(), std::numeric_limits<std::uint32_t>::max())));
}

void LoadReport::print(std::ostream &Out, Duration Elapsed) const {
  std::vector<std::uint32_t> All;
  std::uint64_t Requests = 0;
  for (const auto &[Number, Slot] : this->Seconds) {
    Requests += Slot.Requests;
    All.insert(All.end(), Slot.Latencies.begin(), Slot.Latencies.end());
  }
  std::ranges::sort(All);
  double Seconds = static_cast<double>(Elapsed.count()) / 1e6;
  Out << "requests " << Requests << " in " << Seconds << " s ("
      << static_cast<double>(Requests) / Seconds << "/s)\n";
  for (auto [Status, Count] : this->ByStatus)
    Out << nameOf(Status) << ' ' << Count << '\n';
  Out << "misrouted " << this->Misrouted << "\nlatency us p50 "
      << quantile(All, 0.5) << " p99 " << quantile(All, 0.99) << " p999 "
      << quantile(All, 0.999) << " max " << quantile(All, 1) << '\n';
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  Out << "own cpu s user " << secondsOf(Usage.ru_utime) << " system "
      << secondsOf(Usage.ru_stime) << std::endl;
}

void LoadReport::printCsv(std::ostream &Out) const {
  Out << "second,requests,answered,errors,p50_us,p99_us,p999_us,misrouted\n";
  for (const auto &[Number, Slot] : this->Seconds) {
    std::vector<std::uint32_t> Sorted = Slot.Latencies;
    std::ranges::sort(Sorted);
    Out << Number << ',' << Slot.Requests << ',' << Sorted.size() << ','
        << Slot.Requests - Sorted.size() << ',' << quantile(Sorted, 0.5) << ','
        << quantile(Sorted, 0.99) << ',' << quantile(Sorted, 0.999) << ','
        << Slot.Misrouted << '\n';
  }
}

} // namespace orioledoor::standins
