// Registry maps and P-square quantiles by Boost.Accumulators.
#include "orioledoor/telemetry/metrics.h"

#include <array>
#include <charconv>
#include <cmath>
#include <map>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace orioledoor {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};
constexpr std::uint64_t WindowSize = 4096;
// P-square starts from this many observations with three quantiles.
constexpr std::uint64_t FirstEstimate = 2 * Quantiles.size() + 3;

using Estimator =
    acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

Estimator makeEstimator() {
  return Estimator(acc::tag::extended_p_square::probabilities = Quantiles);
}

std::string format(double Value) {
  if (!std::isfinite(Value))
    return "NaN";
  char Text[32];
  auto Done = std::to_chars(Text, Text + sizeof Text, Value);
  return {Text, Done.ptr};
}

// NAME{LABELS,EXTRA}, without braces if both are empty.
std::string series(std::string_view Name, std::string_view Labels,
                   std::string_view Extra = {}) {
  std::string Result(Name);
  if (Labels.empty() && Extra.empty())
    return Result;
  Result += '{';
  Result += Labels;
  if (!Labels.empty() && !Extra.empty())
    Result += ',';
  Result += Extra;
  return Result + '}';
}

template <typename Metric>
using ByLabels = std::map<std::string, Metric, std::less<>>;
template <typename Metric>
using Families = std::map<std::string, ByLabels<Metric>, std::less<>>;

template <typename Metric>
Metric &findOrAdd(Families<Metric> &In, std::string_view Name,
                  std::string_view Labels) {
  auto Family = In.find(Name);
  if (Family == In.end())
    Family = In.try_emplace(std::string(Name)).first;
  auto Found = Family->second.find(Labels);
  if (Found == Family->second.end())
    Found = Family->second.try_emplace(std::string(Labels)).first;
  return Found->second;
}

template <typename Metric, typename Function>
void writeFamilies(std::string &To, const Families<Metric> &From,
                   std::string_view Kind, Function WriteOne) {
  for (const auto &[Name, Members] : From) {
    To += "# TYPE " + Name + ' ' + std::string(Kind) + '\n';
    for (const auto &[Labels, Each] : Members)
      WriteOne(Name, Labels, Each);
  }
}

} // namespace

struct Summary::Impl {
  std::uint64_t Count = 0;
  double Sum = 0;
  std::uint64_t InWindow = 0;
  Estimator Present = makeEstimator();
  // The estimates at the end of the previous window.
  std::array<double, Quantiles.size()> Previous{};
  bool HasPrevious = false;

  double present(std::size_t Which) const {
    return acc::extended_p_square(
        this->Present)[static_cast<std::ptrdiff_t>(Which)];
  }
};

Summary::Summary() : Own(std::make_unique<Impl>()) {}
Summary::~Summary() = default;
Summary::Summary(Summary &&) noexcept = default;
Summary &Summary::operator=(Summary &&) noexcept = default;

void Summary::observe(double Value) {
  Impl &To = *this->Own;
  ++To.Count;
  To.Sum += Value;
  To.Present(Value);
  if (++To.InWindow < WindowSize)
    return;
  for (std::size_t Which = 0; Which < Quantiles.size(); ++Which)
    To.Previous[Which] = To.present(Which);
  To.HasPrevious = true;
  To.InWindow = 0;
  To.Present = makeEstimator();
}

std::uint64_t Summary::count() const { return this->Own->Count; }

double Summary::sum() const { return this->Own->Sum; }

double Summary::quantile(double Q) const {
  const Impl &From = *this->Own;
  std::size_t Which = Q < 0.7 ? 0 : Q < 0.95 ? 1 : 2;
  if (From.InWindow < FirstEstimate)
    return From.HasPrevious     ? From.Previous[Which]
           : From.InWindow == 0 ? 0
                                : From.Sum / static_cast<double>(From.InWindow);
  if (!From.HasPrevious)
    return From.present(Which);
  double Weight = static_cast<double>(From.InWindow) / WindowSize;
  return Weight * From.present(Which) + (1 - Weight) * From.Previous[Which];
}

struct MetricsRegistry::Impl {
  Families<Counter> Counters;
  Families<Gauge> Gauges;
  Families<Summary> Summaries;
};

MetricsRegistry::MetricsRegistry() : Own(std::make_unique<Impl>()) {}
MetricsRegistry::~MetricsRegistry() = default;

Counter &MetricsRegistry::counter(std::string_view Name,
                                  std::string_view Labels) {
  return findOrAdd(this->Own->Counters, Name, Labels);
}

Gauge &MetricsRegistry::gauge(std::string_view Name, std::string_view Labels) {
  return findOrAdd(this->Own->Gauges, Name, Labels);
}

Summary &MetricsRegistry::summary(std::string_view Name,
                                  std::string_view Labels) {
  return findOrAdd(this->Own->Summaries, Name, Labels);
}

std::string MetricsRegistry::text() const {
  std::string Page;
  auto Line = [&Page](const std::string &Series, const std::string &Value) {
    Page += Series + ' ' + Value + '\n';
  };
  writeFamilies(Page, this->Own->Counters, "counter",
                [&](const auto &Name, const auto &Labels, const Counter &Each) {
                  Line(series(Name, Labels), std::to_string(Each.value()));
                });
  writeFamilies(Page, this->Own->Gauges, "gauge",
                [&](const auto &Name, const auto &Labels, const Gauge &Each) {
                  Line(series(Name, Labels), format(Each.value()));
                });
  writeFamilies(Page, this->Own->Summaries, "summary",
                [&](const auto &Name, const auto &Labels, const Summary &Each) {
                  for (double Q : Quantiles)
                    Line(series(Name, Labels, "quantile=\"" + format(Q) + "\""),
                         format(Each.quantile(Q)));
                  Line(series(Name + "_sum", Labels), format(Each.sum()));
                  Line(series(Name + "_count", Labels),
                       std::to_string(Each.count()));
                });
  return Page;
}

} // namespace orioledoor
