// Builds the pages and copies counters into the registry.
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

std::int64_t millis(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

std::vector<std::uint32_t> values(const std::vector<MemberId> &Ids) {
  std::vector<std::uint32_t> Result;
  std::ranges::transform(Ids, std::back_inserter(Result), &MemberId::Value);
  return Result;
}

ordered_json guardianJson(const ownership::GuardianStatus &Each) {
  return {{"member", Each.Member.Value},
          {"term", Each.Term},
          {"permission_ms", millis(Each.Remaining)},
          {"counts", Each.IsEffective}};
}

ordered_json targetJson(const TargetMonitor &Target) {
  if (!Target.known())
    return nullptr;
  return {{"service", Target.known()->Service},
          {"address", formatEndpoint(Target.known()->Address)},
          {"state", nameOf(Target.known()->State)},
          {"up", Target.isUp()},
          {"slots", Target.known()->Slots},
          {"connections", Target.known()->Connections},
          {"checks_fence", Target.known()->ChecksFence}};
}

// Resident memory in bytes, 0 if the system does not tell.
double residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  if (!(File >> Total >> Resident))
    return 0;
  return static_cast<double>(Resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

double processorSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  auto Seconds = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) +
           static_cast<double>(Time.tv_usec) / 1e6;
  };
  return Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
}

void collectChannel(MetricsRegistry &To, const std::string &Name,
                    const wire::ChannelCounters &From) {
  std::string Out = "channel=\"" + Name + R"(",direction="out")";
  std::string In = "channel=\"" + Name + R"(",direction="in")";
  To.counter("oriole_peer_frames_total", Out).set(From.FramesOut);
  To.counter("oriole_peer_frames_total", In).set(From.FramesIn);
  To.counter("oriole_peer_bytes_total", Out).set(From.BytesOut);
  To.counter("oriole_peer_bytes_total", In).set(From.BytesIn);
}

std::string statusPage(const PageSources &From) {
  const ownership::OwnershipStatus &Status = From.Status;
  const NodeFigures &Figures = From.Figures;
  ordered_json Guardians = ordered_json::array();
  std::ranges::transform(Status.Guardians, std::back_inserter(Guardians),
                         guardianJson);
  ordered_json Releases = ordered_json::array();
  std::ranges::transform(Status.Known.Releases, std::back_inserter(Releases),
                         [](const ownership::Release &Each) -> ordered_json {
                           return {{"member", Each.Member.Value},
                                   {"by", Each.GuardianId.Value},
                                   {"term", Each.Term}};
                         });
  ordered_json Page = {{"node", From.Own.NodeName},
                       {"member", Status.Id.Value},
                       {"ready", Figures.Ready},
                       {"region", From.Own.Region},
                       {"failure_domain", From.Own.FailureDomain},
                       {"catalogue_revision", Status.HeldVersions.Catalogue},
                       {"assignment_version", Status.HeldVersions.Assignment},
                       {"slices_owned", Status.SlicesOwned},
                       {"permission_ms", millis(Status.PermissionRemaining)},
                       {"joining", Status.Joining},
                       {"leaving", Status.Leaving},
                       {"stopping", Figures.Stopping},
                       {"coordinator", Status.Coordinator.Value},
                       {"coordinating", Status.Coordinating},
                       {"watching_store", Status.WatchingStore},
                       {"guardians", std::move(Guardians)},
                       {"guarded", values(Status.Guarded)},
                       {"facts",
                        {{"deposed", values(Status.Known.Deposed)},
                         {"left", values(Status.Known.Left)},
                         {"releases", std::move(Releases)}}},
                       {"target", targetJson(From.Target)},
                       {"open_requests", Figures.OpenRequests},
                       {"open_calls", Figures.OpenCalls}};
  return Page.dump(-1, ' ', false, ordered_json::error_handler_t::replace) +
         "\n";
}

// Brings the metrics up to date that are counted elsewhere: transport, client,
// and processor time and memory of the process.
void collectMetrics(const PageSources &From) {
  MetricsRegistry &To = From.Metrics;
  const wire::TransportCounters &Peers = From.Peers;
  const wire::HttpClientCounters &Client = From.Client;
  const ownership::OwnershipStatus &Status = From.Status;
  const NodeFigures &Figures = From.Figures;
  collectChannel(To, "control", Peers.Control);
  collectChannel(To, "requests", Peers.Requests);
  To.counter("oriole_peer_messages_total", R"(direction="out")")
      .set(Peers.BatchesOut);
  To.counter("oriole_peer_messages_total", R"(direction="in")")
      .set(Peers.BatchesIn);
  To.counter("oriole_peer_header_bytes_total", R"(direction="out")")
      .set(Peers.HeaderBytesOut);
  To.counter("oriole_peer_header_bytes_total", R"(direction="in")")
      .set(Peers.HeaderBytesIn);
  To.counter("oriole_peer_pings_total").set(Peers.Pings);
  To.counter("oriole_peer_connections_lost_total").set(Peers.ConnectionsLost);
  To.counter("oriole_peer_frames_not_sent_total").set(Peers.FramesNotSent);
  To.counter("oriole_peer_refused_total", R"(reason="version")")
      .set(Peers.UnknownVersions);
  To.counter("oriole_peer_refused_total", R"(reason="malformed")")
      .set(Peers.Malformed);
  To.counter("oriole_target_calls_total").set(Client.Calls);
  To.counter("oriole_target_call_failures_total").set(Client.Failures);
  To.counter("oriole_target_connections_total").set(Client.Connections);
  To.counter("oriole_http_refused_total").set(Figures.RefusedRequests);
  auto Gauge = [&To](const char *Name, double Value) {
    To.gauge(Name).set(Value);
  };
  Gauge("oriole_open_requests", static_cast<double>(Figures.OpenRequests));
  Gauge("oriole_open_calls", static_cast<double>(Figures.OpenCalls));
  Gauge("oriole_ready", Figures.Ready ? 1 : 0);
  Gauge("oriole_member", Status.Id.Value);
  Gauge("oriole_slices_owned", static_cast<double>(Status.SlicesOwned));
  Gauge("oriole_permission_seconds",
        static_cast<double>(Status.PermissionRemaining.count()) / 1e6);
  Gauge("oriole_catalogue_revision",
        static_cast<double>(Status.HeldVersions.Catalogue));
  Gauge("oriole_assignment_version",
        static_cast<double>(Status.HeldVersions.Assignment));
  Gauge("process_cpu_seconds_total", processorSeconds());
  Gauge("process_resident_memory_bytes", residentBytes());
}

requests::HttpAnswer jsonAnswer(int Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

requests::HttpAnswer refusal(int Status, std::string_view Step,
                             std::string_view Message) {
  return wire::errorAnswer(
      Status, makeError(absl::StatusCode::kInvalidArgument, Step, "", Message));
}

} // namespace

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

requests::HttpAnswer answerPage(const wire::IncomingRequest &Incoming,
                                const PageSources &From) {
  if (Incoming.Method != "GET" && Incoming.Method != "HEAD")
    return refusal(405, "operators' page", "only GET is supported");
  std::string_view Path = pathOf(Incoming.Target);
  if (Path == "/oriole/health")
    return jsonAnswer(200, "{\"status\":\"ok\"}\n");
  if (Path == "/oriole/ready")
    return From.Figures.Ready ? jsonAnswer(200, "{\"ready\":true}\n")
                              : jsonAnswer(503, "{\"ready\":false}\n");
  if (Path == "/oriole/status")
    return jsonAnswer(200, statusPage(From));
  if (Path != "/oriole/metrics")
    return refusal(404, "operators' page", "there is no such page");
  collectMetrics(From);
  return {200,
          {{"Content-Type", "text/plain; version=0.0.4"}},
          From.Metrics.text()};
}

requests::HttpAnswer
answerAnnouncement(const wire::IncomingRequest &Incoming, TargetMonitor &Target,
                   const ownership::OwnershipStatus &Status,
                   std::size_t OpenCalls) {
  if (!Incoming.FromLoopback)
    return refusal(403, "announce",
                   "only the target beside the node may announce");
  if (Incoming.Method != "POST")
    return refusal(405, "announce", "only POST is supported");
  absl::StatusOr<Announcement> Decoded = decodeAnnouncement(Incoming.Body);
  if (!Decoded.ok())
    return wire::errorAnswer(400, Decoded.status());
  Target.announce(*Decoded, readClock());
  ordered_json Answer = {{"member", Status.Id.Value},
                         {"slices_owned", Status.SlicesOwned},
                         {"idle", Status.SlicesOwned == 0 && OpenCalls == 0}};
  return jsonAnswer(200, Answer.dump() + "\n");
}

} // namespace orioledoor::daemon
