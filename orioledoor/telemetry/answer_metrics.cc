// Counters are looked up once a status.
#include "orioledoor/telemetry/answer_metrics.h"

#include <iterator>
#include <string>

namespace orioledoor {

AnswerMetrics::AnswerMetrics(MetricsRegistry &Metrics, StatusLabel Label)
    : Metrics(Metrics), Label(Label),
      Latency(Metrics.summary("oriole_request_seconds")) {
  if (Label == StatusLabel::Exact)
    return;
  // Scrapers see the classes from the start.
  for (int Hundreds = 0; Hundreds <= 5; ++Hundreds)
    this->Counters[Hundreds] =
        &Metrics.counter("oriole_requests_total",
                         "status=\"" + std::to_string(Hundreds) + "xx\"");
}

void AnswerMetrics::count(int Status) {
  if (this->Label == StatusLabel::Hundreds) {
    auto Last = std::prev(this->Counters.end());
    auto Found = this->Counters.find(Status / 100);
    (Found == this->Counters.end() ? Last : Found)->second->add(1);
    return;
  }
  Counter *&Kept = this->Counters[Status];
  if (!Kept)
    Kept = &this->Metrics.counter("oriole_requests_total",
                                  "status=\"" + std::to_string(Status) + "\"");
  Kept->add(1);
}

void AnswerMetrics::note(int Status, Duration Took) {
  this->count(Status);
  this->Latency.observe(static_cast<double>(Took.count()) / 1e6);
}

} // namespace orioledoor
