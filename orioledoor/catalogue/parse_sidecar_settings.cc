// Settings of a node beside a target from YAML. Figures carry their unit in the
// field's name, since the platform fills them in without one.
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

// A day; no bound of the platform is longer.
constexpr double MaxMillis = 86'400'000;

milliseconds readMillis(const YamlMapping &In, std::string_view Field,
                        milliseconds Default) {
  auto Value = In.find(Field);
  return Value ? milliseconds(static_cast<std::int64_t>(
                     internal::readNumber(*Value, 1, MaxMillis)))
               : Default;
}

milliseconds readSeconds(const YamlMapping &In, std::string_view Field,
                         milliseconds Default) {
  auto Value = In.find(Field);
  return Value ? milliseconds(static_cast<std::int64_t>(
                     1000 *
                     internal::readNumber(*Value, 0.001, MaxMillis / 1000)))
               : Default;
}

SidecarSettings readSidecar(const YamlValue &Document) {
  YamlMapping Root(Document, {"sidecar"});
  YamlMapping In(Root.require("sidecar"),
                 {"node_name", "region", "failure_domain", "outbound",
                  "control", "ready", "metrics", "peer", "target", "service",
                  "store", "drain_ms", "stop_grace_s", "max_hold_ms",
                  "retry_ratio", "retry_extra", "retry_window_s", "link_mbps",
                  "log_level"});
  SidecarSettings Result;
  Result.NodeName = internal::readText(In.require("node_name"));
  Result.Region = internal::readText(In.require("region"));
  Result.FailureDomain = internal::readText(In.require("failure_domain"));
  const std::array<std::pair<std::string_view, Endpoint *>, 5> Listeners = {
      {{"outbound", &Result.Outbound},
       {"control", &Result.Control},
       {"ready", &Result.Ready},
       {"metrics", &Result.Metrics},
       {"peer", &Result.Peer}}};
  std::vector<std::string> Seen;
  for (const auto &[Field, At] : Listeners) {
    YamlValue Value = In.require(Field);
    *At = internal::readEndpoint(Value);
    std::string Name = At->Host + ":" + std::to_string(At->Port);
    if (std::ranges::find(Seen, Name) != Seen.end())
      Value.fail("address of another listener",
                 "a different port for each listener");
    Seen.push_back(Name);
  }
  Result.Target = internal::readEndpoint(In.require("target"));
  Result.Service = internal::readText(In.require("service"));
  Result.Store = internal::readEndpoint(In.require("store"));
  Result.DrainTime = readMillis(In, "drain_ms", Result.DrainTime);
  Result.StopGrace = readSeconds(In, "stop_grace_s", Result.StopGrace);
  Result.MaxHold = readMillis(In, "max_hold_ms", Result.MaxHold);
  Result.RetryWindow = readSeconds(In, "retry_window_s", Result.RetryWindow);
  if (auto Ratio = In.find("retry_ratio"))
    Result.RetryRatio = internal::readNumber(*Ratio, 0, 10);
  if (auto Extra = In.find("retry_extra"))
    Result.RetryExtra = internal::readNumber(*Extra, 0, 1e9);
  if (auto Link = In.find("link_mbps"))
    Result.LinkMbps = internal::readNumber(*Link, 0, 1e6);
  if (auto Level = In.find("log_level")) {
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
