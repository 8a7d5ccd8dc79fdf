// Parses the settings of a sidecar node from YAML. The names of numeric fields
// contain the unit, since the platform fills in the numbers without one.
#include <algorithm>
#include <array>
#include <utility>

#include "orioledoor/catalogue/internal/yaml_reader.h"
#include "orioledoor/catalogue/sidecar_settings.h"

namespace orioledoor {
namespace {

using internal::YamlMapping;
using internal::YamlValue;
using std::chrono::milliseconds;

// One day, which exceeds every limit of the platform.
constexpr double MaxDurationMillis = 86'400'000;

milliseconds readMillis(const YamlMapping &Fields, std::string_view Field,
                        milliseconds Default) {
  auto Value = Fields.find(Field);
  return Value ? milliseconds(static_cast<std::int64_t>(
                     internal::readNumber(*Value, 1, MaxDurationMillis)))
               : Default;
}

milliseconds readSeconds(const YamlMapping &Fields, std::string_view Field,
                         milliseconds Default) {
  auto Value = Fields.find(Field);
  return Value ? milliseconds(static_cast<std::int64_t>(
                     1000 * internal::readNumber(*Value, 0.001,
                                                 MaxDurationMillis / 1000)))
               : Default;
}

SidecarSettings readSidecar(const YamlValue &Document) {
  YamlMapping Root(Document, {"sidecar"});
  YamlMapping Fields(
      Root.require("sidecar"),
      {"node_name",      "region",      "failure_domain", "outbound",
       "control",        "ready",       "metrics",        "peer",
       "target",         "service",     "store",          "drain_ms",
       "stop_grace_s",   "max_hold_ms", "retry_ratio",    "retry_extra",
       "retry_window_s", "link_mbps",   "memory_mb",      "log_level",
       "cold_overage",   "cold_slack",  "evacuation_ms",  "peer_listen"});
  SidecarSettings Result;
  Result.NodeName = internal::readText(Fields.require("node_name"));
  Result.Region = internal::readText(Fields.require("region"));
  Result.FailureDomain = internal::readText(Fields.require("failure_domain"));
  const std::array<std::pair<std::string_view, Endpoint *>, 5> Listeners = {
      {{"outbound", &Result.Outbound},
       {"control", &Result.Control},
       {"ready", &Result.Ready},
       {"metrics", &Result.Metrics},
       {"peer", &Result.Peer}}};
  std::vector<std::string> UsedAddresses;
  auto ReadListener = [&UsedAddresses](const YamlValue &Value) {
    Endpoint Read = internal::readEndpoint(Value);
    std::string Address = Read.Host + ":" + std::to_string(Read.Port);
    if (std::ranges::find(UsedAddresses, Address) != UsedAddresses.end())
      Value.fail("address of another listener",
                 "a different port for each listener");
    UsedAddresses.push_back(Address);
    return Read;
  };
  for (const auto &[Field, Destination] : Listeners)
    *Destination = ReadListener(Fields.require(Field));
  auto PeerListen = Fields.find("peer_listen");
  Result.PeerListen = PeerListen ? ReadListener(*PeerListen) : Result.Peer;
  Result.Target = internal::readEndpoint(Fields.require("target"));
  Result.Service = internal::readText(Fields.require("service"));
  Result.Store = internal::readEndpoint(Fields.require("store"));
  Result.DrainTime = readMillis(Fields, "drain_ms", Result.DrainTime);
  Result.StopGrace = readSeconds(Fields, "stop_grace_s", Result.StopGrace);
  Result.MaxHoldTime = readMillis(Fields, "max_hold_ms", Result.MaxHoldTime);
  Result.RetryWindow =
      readSeconds(Fields, "retry_window_s", Result.RetryWindow);
  if (auto Ratio = Fields.find("retry_ratio"))
    Result.RetryRatio = internal::readNumber(*Ratio, 0, 10);
  if (auto Extra = Fields.find("retry_extra"))
    Result.RetryExtra = internal::readNumber(*Extra, 0, 1e9);
  if (auto Overage = Fields.find("cold_overage"))
    Result.ColdOverage = internal::readNumber(*Overage, 0, 1000);
  if (auto Slack = Fields.find("cold_slack"))
    Result.ColdSlack = internal::readNumber(*Slack, 0, 1e6);
  Result.EvacuationTime =
      readMillis(Fields, "evacuation_ms", Result.EvacuationTime);
  if (auto Link = Fields.find("link_mbps"))
    Result.LinkMbps = internal::readNumber(*Link, 0, 1e6);
  if (auto Memory = Fields.find("memory_mb"))
    Result.MemoryMb = internal::readNumber(*Memory, 64, 1e6);
  if (auto Level = Fields.find("log_level")) {
    constexpr std::array Levels{"debug", "info", "warn", "error"};
    Result.LogLevel = Levels.at(
        internal::readChoice(*Level, {"debug", "info", "warn", "error"}));
  }
  return Result;
}

} // namespace

absl::StatusOr<SidecarSettings>
parseSidecarSettings(std::string_view Text, std::string_view FileName) {
  return internal::readDocument(Text, FileName, readSidecar);
}

bool isSidecarDocument(std::string_view Text) {
  return Text.starts_with("sidecar:") ||
         Text.find("\nsidecar:") != std::string_view::npos;
}

} // namespace orioledoor
