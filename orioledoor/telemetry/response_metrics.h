// Counts responses to requests by status and records their latency, as the
// metrics oriole_requests_total and oriole_request_seconds.
//
//   ResponseMetrics Responses(Metrics, StatusLabel::Exact);
//   Responses.record(200, Elapsed);
#ifndef ORIOLEDOOR_TELEMETRY_RESPONSE_METRICS_H
#define ORIOLEDOOR_TELEMETRY_RESPONSE_METRICS_H

#include <map>

#include "orioledoor/base/instant.h"
#include "orioledoor/telemetry/metrics.h"

namespace orioledoor {

// Form of the label "status": the exact status ("503") or its class ("5xx").
enum class StatusLabel { Exact, Class };

// Not thread-safe. Each call takes logarithmic time in the number of different
// statuses seen.
class ResponseMetrics {
public:
  // Metrics must outlive this object.
  ResponseMetrics(MetricsRegistry &Metrics, StatusLabel Label);

  // Counts a response and records its latency.
  void record(int Status, Duration Elapsed);
  // Counts a response whose latency is unknown.
  void count(int Status);

private:
  MetricsRegistry &Metrics;
  StatusLabel Label;
  Summary &Latency;
  // By status, or by its first digit for StatusLabel::Class.
  std::map<int, Counter *> Counters;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_TELEMETRY_RESPONSE_METRICS_H
