// The answers under /oriole/: pages for operators and the announcements of
// targets.
#ifndef ORIOLEDOOR_DAEMON_NODE_PAGES_H
#define ORIOLEDOOR_DAEMON_NODE_PAGES_H

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "orioledoor/ownership/ownership_status.h"
#include "orioledoor/requests/http_types.h"

namespace orioledoor {
class MetricsRegistry;
struct Settings;
} // namespace orioledoor

namespace orioledoor::wire {
struct HttpClientCounters;
struct IncomingRequest;
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

// Everything that a page may show. Lives as long as the call.
struct PageSources {
  const Settings &Own;
  const ownership::OwnershipStatus &Status;
  const TargetMonitor &Target;
  NodeFigures Figures;
  const wire::TransportCounters &Peers;
  const wire::HttpClientCounters &Client;
  // Brought up to date before it is shown.
  MetricsRegistry &Metrics;
};

// The path of a request target, without its query.
std::string_view pathOf(std::string_view Target);

// Answers a request for health, ready, status or metrics.
requests::HttpAnswer answerPage(const wire::IncomingRequest &Incoming,
                                const PageSources &From);

// Takes an announcement over; only from loopback. The answer tells the target
// whether the node still owns or runs something for it, so that a leaving
// target knows when it may end. Status is of before the announcement.
requests::HttpAnswer
answerAnnouncement(const wire::IncomingRequest &Incoming, TargetMonitor &Target,
                   const ownership::OwnershipStatus &Status,
                   std::size_t OpenCalls);

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_NODE_PAGES_H
