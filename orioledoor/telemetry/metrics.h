// Counters, gauges and summaries, and their text form for Prometheus.
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

// A count that never decreases. Not thread-safe.
class Counter {
public:
  void add(std::uint64_t Delta) { this->Value += Delta; }
  // Sets the value to a count that other code maintains. The caller must not
  // pass less than the present value.
  void set(std::uint64_t NewValue) { this->Value = NewValue; }
  std::uint64_t value() const { return this->Value; }

private:
  std::uint64_t Value = 0;
};

// A value that may increase and decrease. Not thread-safe.
class Gauge {
public:
  void set(double NewValue) { this->Value = NewValue; }
  double value() const { return this->Value; }

private:
  double Value = 0;
};

// Count, sum and quantiles (0.5, 0.9, 0.99) of observations, in constant
// memory by the P-square algorithm (Jain and Chlamtac: The P2 algorithm for
// dynamic calculation of quantiles and histograms without storing
// observations, 1985). The quantiles cover the current and the previous
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
  // Returns an estimate of the quantile Q, which must be 0.5, 0.9 or 0.99.
  // Returns 0 if there are no observations.
  double quantile(double Q) const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

// Owns metrics by name and labels. References to metrics stay valid for the
// lifetime of the registry. Look-ups take logarithmic time. Not thread-safe.
class MetricsRegistry {
public:
  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry &) = delete;
  MetricsRegistry &operator=(const MetricsRegistry &) = delete;

  // Returns the metric with Name and Labels; creates it if it does not exist.
  // Labels is empty or in the form NAME="VALUE",... A name must be used for one
  // type of metric only.
  Counter &counter(std::string_view Name, std::string_view Labels = {});
  Gauge &gauge(std::string_view Name, std::string_view Labels = {});
  Summary &summary(std::string_view Name, std::string_view Labels = {});

  // Returns all metrics in the Prometheus text exposition format, version
  // 0.0.4: counters, gauges and summaries, each sorted by name and labels.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_TELEMETRY_METRICS_H
