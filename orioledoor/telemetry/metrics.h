// Counters, gauges and latency summaries with a text exposition.
//
//   MetricsRegistry Metrics;
//   Metrics.counter("oriole_requests_total", "status=\"200\"").add(1);
//   Metrics.summary("oriole_latency_seconds").observe(0.004);
//   std::string Page = Metrics.text();
#ifndef ORIOLEDOOR_TELEMETRY_METRICS_H
#define ORIOLEDOOR_TELEMETRY_METRICS_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace orioledoor {

// A count that never falls. Not thread-safe.
class Counter {
public:
  void add(std::uint64_t By) { this->Value += By; }
  // Takes over a count that is kept elsewhere.
  void set(std::uint64_t To) { this->Value = To; }
  std::uint64_t value() const { return this->Value; }

private:
  std::uint64_t Value = 0;
};

// A value that rises and falls. Not thread-safe.
class Gauge {
public:
  void set(double To) { this->Value = To; }
  double value() const { return this->Value; }

private:
  double Value = 0;
};

// Count, sum and quantiles (0.5, 0.9, 0.99) of observations, in constant
// memory by the P-square algorithm (Jain and Chlamtac: The P2 algorithm for
// dynamic calculation of quantiles and histograms without storing
// observations, 1985). The quantiles cover the present and the previous
// window of 4096 observations. Not thread-safe.
class Summary {
public:
  Summary();
  ~Summary();
  Summary(Summary &&) noexcept;
  Summary &operator=(Summary &&) noexcept;

  void observe(double Value);

  std::uint64_t count() const;
  double sum() const;
  // Q is one of 0.5, 0.9 and 0.99; 0 without observations.
  double quantile(double Q) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Own;
};

// Owns metrics by name and labels. Not thread-safe. A metric stays where it is
// while the registry lives; references may be kept. Look-ups are logarithmic.
class MetricsRegistry {
public:
  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry &) = delete;
  MetricsRegistry &operator=(const MetricsRegistry &) = delete;

  // Labels is empty or in the form of the exposition: NAME="VALUE",...
  // A name stands for one kind of metric only.
  Counter &counter(std::string_view Name, std::string_view Labels = {});
  Gauge &gauge(std::string_view Name, std::string_view Labels = {});
  Summary &summary(std::string_view Name, std::string_view Labels = {});

  // The text exposition format, version 0.0.4, sorted by name.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Own;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_TELEMETRY_METRICS_H
