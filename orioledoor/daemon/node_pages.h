// Answers requests to paths under /oriole/: the operators' pages and the
// announcements of targets.
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

// Statistics of the node that the pages show in addition to the ownership
// status.
struct NodeStatistics {
  bool Ready = false;
  bool Stopping = false;
  std::size_t OpenRequests = 0;
  std::size_t OpenCalls = 0;
  std::uint64_t RefusedRequests = 0;
};

// The data that the pages show. The references need to be valid only during the
// call.
struct PageData {
  const Settings &NodeSettings;
  const ownership::OwnershipStatus &Status;
  const TargetMonitor &Target;
  NodeStatistics Statistics;
  const wire::TransportCounters &Peers;
  const wire::HttpClientCounters &Client;
  // Updated before it is shown.
  MetricsRegistry &Metrics;
};

// Returns the path of a request target without the query.
std::string_view pathOf(std::string_view Target);

// Answers a request for the health, ready, status or metrics page.
requests::HttpAnswer answerPage(const wire::IncomingRequest &Incoming,
                                const PageData &Data);

// Applies an announcement, which is accepted only from loopback. The answer
// states whether the node still owns slices or has calls in flight, so that a
// leaving target knows when it may exit. Status is the ownership status before
// the announcement.
requests::HttpAnswer
answerAnnouncement(const wire::IncomingRequest &Incoming, TargetMonitor &Target,
                   const ownership::OwnershipStatus &Status,
                   std::size_t OpenCalls);

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_NODE_PAGES_H
