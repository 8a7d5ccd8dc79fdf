// JSON of reports, their answers and configurations.
#include "orioledoor/platform/testing/target_codec.h"

#include <array>
#include <cstdio>
#include <exception>

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"
#include "orioledoor/platform/names.h"

namespace orioledoor::platform::testing {
namespace {

using nlohmann::json;

std::int64_t millis(Duration Of) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Of).count();
}

std::string versionText(std::uint64_t Version) {
  std::array<char, 17> Text{};
  std::snprintf(Text.data(), Text.size(), "%08llx",
                static_cast<unsigned long long>(Version));
  return Text.data();
}

json routeOf(const routing::Route &Of) {
  json Path{{"name", Of.Name},
            {"pathPrefix", Of.Prefix},
            {"kind", Of.Idempotent ? "safe" : "unsafe"},
            {"timeoutMs", millis(Of.Timeout)},
            {"targetLatencyMs", millis(Of.TargetLatency)},
            {"priority", Of.Priority},
            {"attempts", Of.Attempts}};
  if (Of.Services.size() == 1)
    Path["service"] = Of.Services.front().Service;
  else
    for (const routing::WeightedService &Part : Of.Services)
      Path["trafficSplit"].push_back(
          {{"service", Part.Service}, {"weight", Part.Weight}});
  return Path;
}

} // namespace

std::string reportPath(std::string_view Instance) {
  return names::HeartbeatPrefix + std::string(Instance);
}

std::string deregisterPath(std::string_view Instance) {
  return names::DeregisterPrefix + std::string(Instance);
}

std::string encodeReport(const routing::TargetReport &Report) {
  json Holds = json::array();
  for (const routing::HeldRange &Each : Report.Holds)
    Holds.push_back({Each.Keys.From, Each.Keys.To, Each.Fence});
  json Released = json::array();
  for (const routing::ReleasedRange &Each : Report.Released)
    Released.push_back({Each.Keys.From, Each.Keys.To, Each.Handover});
  return json{{"address", Report.Address},
              {"information",
               {{"service", Report.Service},
                {"version", Report.SoftwareVersion},
                {"zone", Report.FailureDomain},
                {"slots", Report.Slots}}},
              {"status",
               {{"state", Report.Draining ? "draining" : "ready"},
                {"sequence", Report.Sequence},
                {"coldRemainingMs", millis(Report.ColdRemaining)}}},
              {"born", Report.StartTimeMs},
              {"holds", Holds},
              {"freedCount", Released}}
      .dump();
}

absl::StatusOr<routing::ReportAnswer>
decodeReportAnswer(std::string_view Body) {
  try {
    json In = json::parse(Body);
    routing::ReportAnswer Answer;
    if (!In.contains("holds"))
      return Answer;
    Answer.HoldTime =
        std::chrono::milliseconds(In.at("holdMs").get<std::int64_t>());
    for (const json &Row : In.at("holds"))
      Answer.Grants.push_back({{Row.at(0), Row.at(1)}, Row.at(2), Row.at(3)});
    return Answer;
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kInvalidArgument,
                     "read answer to report", "node", Error.what());
  }
}

std::string encodeConfig(const routing::RouteTable &Table) {
  json Services = json::array();
  for (const auto &[Name, Policy] : Table.Services)
    Services.push_back({{"name", Name},
                        {"healthPath", Policy.HealthPath},
                        {"maxConnections", Policy.MaxConnections},
                        {"partitioned", Policy.Partitioned}});
  json Hosts = json::object();
  for (const routing::Route &Each : Table.routes())
    Hosts[Each.Host].push_back(routeOf(Each));
  json VirtualHosts = json::array();
  for (const auto &[Host, Paths] : Hosts.items())
    VirtualHosts.push_back({{"host", Host}, {"paths", Paths}});
  return json{{"version", versionText(Table.Version)},
              {"services", Services},
              {"limits", {{"idleTimeoutMs", millis(Table.Limits.IdleTimeout)}}},
              {"virtualHosts", VirtualHosts}}
      .dump();
}

} // namespace orioledoor::platform::testing
