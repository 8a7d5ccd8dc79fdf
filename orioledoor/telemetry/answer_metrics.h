// Counts responses to requests by status and records their latency, as the
// metrics oriole_requests_total and oriole_request_seconds.
//
//   AnswerMetrics Answers(Metrics, StatusLabel::Exact);
//   Answers.note(200, Elapsed);
#ifndef ORIOLEDOOR_TELEMETRY_ANSWER_METRICS_H
#define ORIOLEDOOR_TELEMETRY_ANSWER_METRICS_H

#include <map>

#include "orioledoor/base/instant.h"
#include "orioledoor/telemetry/metrics.h"

namespace orioledoor {

// Form of the label "status": the exact status ("503") or its class ("5xx").
enum class StatusLabel { Exact, Hundreds };

// Not thread-safe. Each call takes logarithmic time in the number of different
// statuses seen.
class AnswerMetrics {
public:
  // Metrics must outlive this object.
  AnswerMetrics(MetricsRegistry &Metrics, StatusLabel Label);

  // Counts a response and records its latency.
  void note(int Status, Duration Elapsed);
  // Counts a response whose latency is unknown.
  void count(int Status);

private:
  MetricsRegistry &Metrics;
  StatusLabel Label;
  Summary &Latency;
  // By status, or by its first digit for StatusLabel::Hundreds.
  std::map<int, Counter *> Counters;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_TELEMETRY_ANSWER_METRICS_H
