// Totals and latency quantiles of the load tool.
#include "orioledoor/standins/load_report.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>
#include <ostream>
#include <string>

namespace orioledoor::standins {
namespace {

// Returns the value at rank Fraction * size of the sorted values, but at most
// the largest one; 0 if there are none.
std::uint32_t quantile(std::span<const std::uint32_t> Sorted, double Fraction) {
  if (Sorted.empty())
    return 0;
  auto Rank =
      static_cast<std::size_t>(Fraction * static_cast<double>(Sorted.size()));
  return Sorted[std::min(Rank, Sorted.size() - 1)];
}

double secondsOf(const timeval &Time) {
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_usec) / 1e6;
}

std::string statusName(int Status) {
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
  Second &Bucket = this->Seconds[Sample.Second];
  ++Bucket.Requests;
  ++this->ByStatus[Sample.Status];
  if (Sample.Misrouted) {
    ++Bucket.Misrouted;
    ++this->Misrouted;
  }
  if (Sample.Status > 0 && Sample.Status < 500)
    Bucket.Latencies.push_back(static_cast<std::uint32_t>(
        std::min<std::int64_t>(Sample.Latency.count(),
                               std::numeric_limits<std::uint32_t>::max())));
}

void LoadReport::print(std::ostream &Out, Duration Elapsed) const {
  std::vector<std::uint32_t> AllLatencies;
  std::uint64_t Requests = 0;
  for (const auto &[Number, Bucket] : this->Seconds) {
    Requests += Bucket.Requests;
    AllLatencies.insert(AllLatencies.end(), Bucket.Latencies.begin(),
                        Bucket.Latencies.end());
  }
  std::ranges::sort(AllLatencies);
  double Seconds = static_cast<double>(Elapsed.count()) / 1e6;
  Out << "requests " << Requests << " in " << Seconds << " s ("
      << static_cast<double>(Requests) / Seconds << "/s)\n";
  for (auto [Status, Count] : this->ByStatus)
    Out << statusName(Status) << ' ' << Count << '\n';
  Out << "misrouted " << this->Misrouted << "\nlatency us p50 "
      << quantile(AllLatencies, 0.5) << " p99 " << quantile(AllLatencies, 0.99)
      << " p999 " << quantile(AllLatencies, 0.999) << " max "
      << quantile(AllLatencies, 1) << '\n';
  rusage CpuUsage{};
  getrusage(RUSAGE_SELF, &CpuUsage);
  Out << "own cpu s user " << secondsOf(CpuUsage.ru_utime) << " system "
      << secondsOf(CpuUsage.ru_stime) << std::endl;
}

void LoadReport::printCsv(std::ostream &Out) const {
  Out << "second,requests,answered,errors,p50_us,p99_us,p999_us,misrouted\n";
  for (const auto &[Number, Bucket] : this->Seconds) {
    std::vector<std::uint32_t> Sorted = Bucket.Latencies;
    std::ranges::sort(Sorted);
    Out << Number << ',' << Bucket.Requests << ',' << Sorted.size() << ','
        << Bucket.Requests - Sorted.size() << ',' << quantile(Sorted, 0.5)
        << ',' << quantile(Sorted, 0.99) << ',' << quantile(Sorted, 0.999)
        << ',' << Bucket.Misrouted << '\n';
  }
}

} // namespace orioledoor::standins
