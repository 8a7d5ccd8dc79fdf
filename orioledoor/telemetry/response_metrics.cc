// Caches the counter of each status, so that only the first response with a
// status looks it up in the registry.
#include "orioledoor/telemetry/response_metrics.h"

#include <iterator>
#include <string>

namespace orioledoor {

ResponseMetrics::ResponseMetrics(MetricsRegistry &Metrics, StatusLabel Label)
    : Metrics(Metrics), Label(Label),
      Latency(Metrics.summary("oriole_request_seconds")) {
  if (Label == StatusLabel::Exact)
    return;
  // Creates the counters of all classes now, so that the first scrape already
  // reports them as 0.
  for (int Class = 0; Class <= 5; ++Class)
    this->Counters[Class] = &Metrics.counter(
        "oriole_requests_total", "status=\"" + std::to_string(Class) + "xx\"");
}

void ResponseMetrics::count(int Status) {
  if (this->Label == StatusLabel::Class) {
    auto LastClass = std::prev(this->Counters.end());
    auto Found = this->Counters.find(Status / 100);
    (Found == this->Counters.end() ? LastClass : Found)->second->add(1);
    return;
  }
  Counter *&Cached = this->Counters[Status];
  if (!Cached)
    Cached = &this->Metrics.counter(
        "oriole_requests_total", "status=\"" + std::to_string(Status) + "\"");
  Cached->add(1);
}

void ResponseMetrics::record(int Status, Duration Elapsed) {
  this->count(Status);
  this->Latency.observe(static_cast<double>(Elapsed.count()) / 1e6);
}

} // namespace orioledoor
