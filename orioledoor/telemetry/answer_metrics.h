// Counts answers by status and observes how long they took.
//
//   AnswerMetrics Answers(Metrics, StatusLabel::Exact);
//   Answers.note(200, Took);
#ifndef ORIOLEDOOR_TELEMETRY_ANSWER_METRICS_H
#define ORIOLEDOOR_TELEMETRY_ANSWER_METRICS_H

#include <map>

#include "orioledoor/base/instant.h"
#include "orioledoor/telemetry/metrics.h"

namespace orioledoor {

// How a status reads in the label: "503" or "5xx".
enum class StatusLabel { Exact, Hundreds };

// Not thread-safe; logarithmic in the statuses seen.
class AnswerMetrics {
public:
  // Metrics outlives this.
  AnswerMetrics(MetricsRegistry &Metrics, StatusLabel Label);

  void note(int Status, Duration Took);
  // Without a time that was observed.
  void count(int Status);

private:
  MetricsRegistry &Metrics;
  StatusLabel Label;
  Summary &Latency;
  std::map<int, Counter *> Counters;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_TELEMETRY_ANSWER_METRICS_H
