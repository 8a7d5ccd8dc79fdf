// Maps of metrics by name and labels, and quantile estimation by the P-square
// algorithm of Boost.Accumulators.
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
constexpr std::uint64_t WindowObservations = 4096;
// P-square with N quantiles keeps 2 N + 3 markers, and its estimates are valid
// once it has an observation for each.
constexpr std::uint64_t MinObservations = 2 * Quantiles.size() + 3;

using Estimator =
    acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

Estimator makeEstimator() {
  return Estimator(acc::tag::extended_p_square::probabilities = Quantiles);
}

std::string format(double Value) {
  if (!std::isfinite(Value))
    return "NaN";
  char Text[32];
  auto Conversion = std::to_chars(Text, Text + sizeof Text, Value);
  return {Text, Conversion.ptr};
}

// Returns the name of a time series, NAME{LABELS,EXTRA}, without braces if
// Labels and Extra are empty.
std::string seriesName(std::string_view Name, std::string_view Labels,
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
Metric &findOrCreate(Families<Metric> &Registered, std::string_view Name,
                     std::string_view Labels) {
  auto Family = Registered.find(Name);
  if (Family == Registered.end())
    Family = Registered.try_emplace(std::string(Name)).first;
  auto Found = Family->second.find(Labels);
  if (Found == Family->second.end())
    Found = Family->second.try_emplace(std::string(Labels)).first;
  return Found->second;
}

template <typename Metric, typename Function>
void writeFamilies(std::string &Page, const Families<Metric> &Registered,
                   std::string_view Type, Function WriteMetric) {
  for (const auto &[Name, ByLabel] : Registered) {
    Page += "# TYPE " + Name + ' ' + std::string(Type) + '\n';
    for (const auto &[Labels, Value] : ByLabel)
      WriteMetric(Name, Labels, Value);
  }
}

} // namespace

struct Summary::Impl {
  std::uint64_t Count = 0;
  double Sum = 0;
  std::uint64_t WindowCount = 0;
  Estimator Current = makeEstimator();
  // The quantiles of the previous window.
  std::array<double, Quantiles.size()> PreviousQuantiles{};
  bool HasPreviousWindow = false;

  double currentQuantile(std::size_t Index) const {
    return acc::extended_p_square(
        this->Current)[static_cast<std::ptrdiff_t>(Index)];
  }
};

Summary::Summary() : State(std::make_unique<Impl>()) {}
Summary::~Summary() = default;
Summary::Summary(Summary &&) noexcept = default;
Summary &Summary::operator=(Summary &&) noexcept = default;

void Summary::observe(double Value) {
  Impl &Data = *this->State;
  ++Data.Count;
  Data.Sum += Value;
  Data.Current(Value);
  if (++Data.WindowCount < WindowObservations)
    return;
  for (std::size_t Index = 0; Index < Quantiles.size(); ++Index)
    Data.PreviousQuantiles[Index] = Data.currentQuantile(Index);
  Data.HasPreviousWindow = true;
  Data.WindowCount = 0;
  Data.Current = makeEstimator();
}

std::uint64_t Summary::count() const { return this->State->Count; }

double Summary::sum() const { return this->State->Sum; }

double Summary::quantile(double Q) const {
  const Impl &Data = *this->State;
  std::size_t Index = Q < 0.7 ? 0 : Q < 0.95 ? 1 : 2;
  if (Data.WindowCount < MinObservations)
    return Data.HasPreviousWindow ? Data.PreviousQuantiles[Index]
           : Data.WindowCount == 0
               ? 0
               : Data.Sum / static_cast<double>(Data.WindowCount);
  if (!Data.HasPreviousWindow)
    return Data.currentQuantile(Index);
  double Weight = static_cast<double>(Data.WindowCount) / WindowObservations;
  return Weight * Data.currentQuantile(Index) +
         (1 - Weight) * Data.PreviousQuantiles[Index];
}

struct MetricsRegistry::Impl {
  Families<Counter> Counters;
  Families<Gauge> Gauges;
  Families<Summary> Summaries;
};

MetricsRegistry::MetricsRegistry() : State(std::make_unique<Impl>()) {}
MetricsRegistry::~MetricsRegistry() = default;

Counter &MetricsRegistry::counter(std::string_view Name,
                                  std::string_view Labels) {
  return findOrCreate(this->State->Counters, Name, Labels);
}

Gauge &MetricsRegistry::gauge(std::string_view Name, std::string_view Labels) {
  return findOrCreate(this->State->Gauges, Name, Labels);
}

Summary &MetricsRegistry::summary(std::string_view Name,
                                  std::string_view Labels) {
  return findOrCreate(this->State->Summaries, Name, Labels);
}

std::string MetricsRegistry::text() const {
  std::string Page;
  auto WriteLine = [&Page](const std::string &Series,
                           const std::string &Value) {
    Page += Series + ' ' + Value + '\n';
  };
  writeFamilies(
      Page, this->State->Counters, "counter",
      [&](const auto &Name, const auto &Labels, const Counter &Value) {
        WriteLine(seriesName(Name, Labels), std::to_string(Value.value()));
      });
  writeFamilies(Page, this->State->Gauges, "gauge",
                [&](const auto &Name, const auto &Labels, const Gauge &Value) {
                  WriteLine(seriesName(Name, Labels), format(Value.value()));
                });
  writeFamilies(
      Page, this->State->Summaries, "summary",
      [&](const auto &Name, const auto &Labels, const Summary &Value) {
        for (double Q : Quantiles)
          WriteLine(seriesName(Name, Labels, "quantile=\"" + format(Q) + "\""),
                    format(Value.quantile(Q)));
        WriteLine(seriesName(Name + "_sum", Labels), format(Value.sum()));
        WriteLine(seriesName(Name + "_count", Labels),
                  std::to_string(Value.count()));
      });
  return Page;
}

} // namespace orioledoor
