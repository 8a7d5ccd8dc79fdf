// Renders the metrics page of a node.
#ifndef ORIOLEDOOR_SIDECAR_NODE_METRICS_H
#define ORIOLEDOOR_SIDECAR_NODE_METRICS_H

#include <string>

#include "orioledoor/base/instant.h"

namespace orioledoor {
class MetricsRegistry;
} // namespace orioledoor
namespace orioledoor::platform {
struct PlatformStoreCounters;
} // namespace orioledoor::platform
namespace orioledoor::wire {
class HttpServer;
struct HttpClientCounters;
struct TransportCounters;
} // namespace orioledoor::wire

namespace orioledoor::sidecar {

class SidecarReducer;

// Copies the current state into Metrics and returns all metrics as text.
std::string renderMetrics(MetricsRegistry &Metrics,
                          const SidecarReducer &Reducer,
                          const platform::PlatformStoreCounters &Store,
                          const wire::TransportCounters &Peers,
                          const wire::HttpClientCounters &TargetClient,
                          const wire::HttpServer &Outbound, Instant Now);

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_NODE_METRICS_H
