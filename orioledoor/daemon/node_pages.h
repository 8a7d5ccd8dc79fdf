// The pages under /oriole/ that operators read.
#ifndef ORIOLEDOOR_DAEMON_NODE_PAGES_H
#define ORIOLEDOOR_DAEMON_NODE_PAGES_H

#include <cstddef>
#include <cstdint>
#include <string>

#include "orioledoor/ownership/ownership_status.h"

namespace orioledoor {
class MetricsRegistry;
struct Settings;
} // namespace orioledoor

namespace orioledoor::wire {
struct HttpClientCounters;
struct TransportCounters;
} // namespace orioledoor::wire

namespace orioledoor::daemon {

class TargetMonitor;

// What the pages show beside the ownership status.
struct NodeFigures {
  bool Ready = false;
  bool Stopping = false;
  std::size_t OpenRequests = 0;
  std::size_t OpenCalls = 0;
  std::uint64_t RefusedRequests = 0;
};

// JSON, one object.
std::string statusPage(const Settings &Own,
                       const ownership::OwnershipStatus &Status,
                       const TargetMonitor &Target, const NodeFigures &Figures);

// Brings the metrics up to date that are counted elsewhere: transport, client,
// and processor time and memory of the process.
void collectMetrics(MetricsRegistry &To, const wire::TransportCounters &Peers,
                    const wire::HttpClientCounters &Client,
                    const ownership::OwnershipStatus &Status,
                    const NodeFigures &Figures);

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_NODE_PAGES_H
