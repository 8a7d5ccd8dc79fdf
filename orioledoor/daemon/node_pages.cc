// Builds the pages and copies counters into the metrics registry.
#include "orioledoor/daemon/node_pages.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/catalogue/parse_endpoint.h"
#include "orioledoor/catalogue/settings.h"
#include "orioledoor/daemon/target_monitor.h"
#include "orioledoor/telemetry/metrics.h"
#include "orioledoor/wire/http_client.h"
#include "orioledoor/wire/http_server.h"
#include "orioledoor/wire/peer_transport.h"

namespace orioledoor::daemon {
namespace {

using nlohmann::ordered_json;

std::int64_t toMillis(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

std::vector<std::uint32_t> memberNumbers(const std::vector<MemberId> &Ids) {
  std::vector<std::uint32_t> Result;
  std::ranges::transform(Ids, std::back_inserter(Result), &MemberId::Value);
  return Result;
}

ordered_json guardianJson(const ownership::GuardianStatus &Guardian) {
  return {{"member", Guardian.Member.Value},
          {"term", Guardian.Term},
          {"permission_ms", toMillis(Guardian.Remaining)},
          {"counts", Guardian.IsEffective}};
}

ordered_json targetJson(const TargetMonitor &Target) {
  if (!Target.lastAnnouncement())
    return nullptr;
  return {{"service", Target.lastAnnouncement()->Service},
          {"address", formatEndpoint(Target.lastAnnouncement()->Address)},
          {"state", targetStateName(Target.lastAnnouncement()->State)},
          {"up", Target.isUp()},
          {"slots", Target.lastAnnouncement()->Slots},
          {"connections", Target.lastAnnouncement()->Connections},
          {"checks_fence", Target.lastAnnouncement()->ChecksFence}};
}

// Returns the resident memory in bytes, or 0 if it cannot be read.
double residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  if (!(File >> Total >> Resident))
    return 0;
  return static_cast<double>(Resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

double cpuSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  auto Seconds = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) +
           static_cast<double>(Time.tv_usec) / 1e6;
  };
  return Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
}

void updateChannelMetrics(MetricsRegistry &Registry, const std::string &Name,
                          const wire::ChannelCounters &Counters) {
  std::string Out = "channel=\"" + Name + R"(",direction="out")";
  std::string In = "channel=\"" + Name + R"(",direction="in")";
  Registry.counter("oriole_peer_frames_total", Out).set(Counters.FramesOut);
  Registry.counter("oriole_peer_frames_total", In).set(Counters.FramesIn);
  Registry.counter("oriole_peer_bytes_total", Out).set(Counters.BytesOut);
  Registry.counter("oriole_peer_bytes_total", In).set(Counters.BytesIn);
}

std::string statusPage(const PageData &Data) {
  const ownership::OwnershipStatus &Status = Data.Status;
  const NodeStatistics &Statistics = Data.Statistics;
  ordered_json Guardians = ordered_json::array();
  std::ranges::transform(Status.Guardians, std::back_inserter(Guardians),
                         guardianJson);
  ordered_json Releases = ordered_json::array();
  std::ranges::transform(Status.Known.Releases, std::back_inserter(Releases),
                         [](const ownership::Release &Release) -> ordered_json {
                           return {{"member", Release.Member.Value},
                                   {"by", Release.GuardianId.Value},
                                   {"term", Release.Term}};
                         });
  ordered_json Page = {{"node", Data.NodeSettings.NodeName},
                       {"member", Status.Id.Value},
                       {"ready", Statistics.Ready},
                       {"region", Data.NodeSettings.Region},
                       {"failure_domain", Data.NodeSettings.FailureDomain},
                       {"catalogue_revision", Status.HeldVersions.Catalogue},
                       {"assignment_version", Status.HeldVersions.Assignment},
                       {"slices_owned", Status.SlicesOwned},
                       {"permission_ms", toMillis(Status.PermissionRemaining)},
                       {"joining", Status.Joining},
                       {"leaving", Status.Leaving},
                       {"stopping", Statistics.Stopping},
                       {"coordinator", Status.Coordinator.Value},
                       {"coordinating", Status.Coordinating},
                       {"watching_store", Status.WatchingStore},
                       {"guardians", std::move(Guardians)},
                       {"guarded", memberNumbers(Status.Guarded)},
                       {"facts",
                        {{"deposed", memberNumbers(Status.Known.Deposed)},
                         {"left", memberNumbers(Status.Known.Left)},
                         {"releases", std::move(Releases)}}},
                       {"target", targetJson(Data.Target)},
                       {"open_requests", Statistics.OpenRequests},
                       {"open_calls", Statistics.OpenCalls}};
  return Page.dump(-1, ' ', false, ordered_json::error_handler_t::replace) +
         "\n";
}

// Updates the metrics whose values are kept elsewhere: those of the transport
// and the HTTP client, and the CPU time and memory of the process.
void updateMetrics(const PageData &Data) {
  MetricsRegistry &Registry = Data.Metrics;
  const wire::TransportCounters &Peers = Data.Peers;
  const wire::HttpClientCounters &Client = Data.Client;
  const ownership::OwnershipStatus &Status = Data.Status;
  const NodeStatistics &Statistics = Data.Statistics;
  updateChannelMetrics(Registry, "control", Peers.Control);
  updateChannelMetrics(Registry, "requests", Peers.Requests);
  Registry.counter("oriole_peer_messages_total", R"(direction="out")")
      .set(Peers.BatchesOut);
  Registry.counter("oriole_peer_messages_total", R"(direction="in")")
      .set(Peers.BatchesIn);
  Registry.counter("oriole_peer_header_bytes_total", R"(direction="out")")
      .set(Peers.HeaderBytesOut);
  Registry.counter("oriole_peer_header_bytes_total", R"(direction="in")")
      .set(Peers.HeaderBytesIn);
  Registry.counter("oriole_peer_pings_total").set(Peers.Pings);
  Registry.counter("oriole_peer_connections_lost_total")
      .set(Peers.ConnectionsLost);
  Registry.counter("oriole_peer_frames_not_sent_total")
      .set(Peers.FramesNotSent);
  Registry.counter("oriole_peer_refused_total", R"(reason="version")")
      .set(Peers.UnknownVersions);
  Registry.counter("oriole_peer_refused_total", R"(reason="malformed")")
      .set(Peers.Malformed);
  Registry.counter("oriole_target_calls_total").set(Client.Calls);
  Registry.counter("oriole_target_call_failures_total").set(Client.Failures);
  Registry.counter("oriole_target_connections_total").set(Client.Connections);
  Registry.counter("oriole_http_refused_total").set(Statistics.RefusedRequests);
  auto Gauge = [&Registry](const char *Name, double Value) {
    Registry.gauge(Name).set(Value);
  };
  Gauge("oriole_open_requests", static_cast<double>(Statistics.OpenRequests));
  Gauge("oriole_open_calls", static_cast<double>(Statistics.OpenCalls));
  Gauge("oriole_ready", Statistics.Ready ? 1 : 0);
  Gauge("oriole_member", Status.Id.Value);
  Gauge("oriole_slices_owned", static_cast<double>(Status.SlicesOwned));
  Gauge("oriole_permission_seconds",
        static_cast<double>(Status.PermissionRemaining.count()) / 1e6);
  Gauge("oriole_catalogue_revision",
        static_cast<double>(Status.HeldVersions.Catalogue));
  Gauge("oriole_assignment_version",
        static_cast<double>(Status.HeldVersions.Assignment));
  Gauge("process_cpu_seconds_total", cpuSeconds());
  Gauge("process_resident_memory_bytes", residentBytes());
}

requests::HttpAnswer jsonAnswer(int Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

requests::HttpAnswer invalidRequestAnswer(int Status, std::string_view Step,
                                          std::string_view Message) {
  return wire::errorAnswer(
      Status, makeError(absl::StatusCode::kInvalidArgument, Step, "", Message));
}

} // namespace

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

requests::HttpAnswer answerPage(const wire::IncomingRequest &Incoming,
                                const PageData &Data) {
  if (Incoming.Method != "GET" && Incoming.Method != "HEAD")
    return invalidRequestAnswer(405, "operators' page",
                                "only GET is supported");
  std::string_view Path = pathOf(Incoming.Target);
  if (Path == "/oriole/health")
    return jsonAnswer(200, "{\"status\":\"ok\"}\n");
  if (Path == "/oriole/ready")
    return Data.Statistics.Ready ? jsonAnswer(200, "{\"ready\":true}\n")
                                 : jsonAnswer(503, "{\"ready\":false}\n");
  if (Path == "/oriole/status")
    return jsonAnswer(200, statusPage(Data));
  if (Path != "/oriole/metrics")
    return invalidRequestAnswer(404, "operators' page",
                                "there is no such page");
  updateMetrics(Data);
  return {200,
          {{"Content-Type", "text/plain; version=0.0.4"}},
          Data.Metrics.text()};
}

requests::HttpAnswer
answerAnnouncement(const wire::IncomingRequest &Incoming, TargetMonitor &Target,
                   const ownership::OwnershipStatus &Status,
                   std::size_t OpenCalls) {
  if (!Incoming.FromLoopback)
    return invalidRequestAnswer(403, "announce",
                                "only the target beside the node may announce");
  if (Incoming.Method != "POST")
    return invalidRequestAnswer(405, "announce", "only POST is supported");
  absl::StatusOr<Announcement> Decoded = decodeAnnouncement(Incoming.Body);
  if (!Decoded.ok())
    return wire::errorAnswer(400, Decoded.status());
  Target.onAnnouncement(*Decoded, readClock());
  ordered_json Answer = {{"member", Status.Id.Value},
                         {"slices_owned", Status.SlicesOwned},
                         {"idle", Status.SlicesOwned == 0 && OpenCalls == 0}};
  return jsonAnswer(200, Answer.dump() + "\n");
}

} // namespace orioledoor::daemon
