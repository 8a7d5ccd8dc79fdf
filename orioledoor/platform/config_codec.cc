// Implements the decoding of the JSON configuration.
#include "orioledoor/platform/config_codec.h"

#include <algorithm>
#include <charconv>
#include <exception>
#include <stdexcept>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"

namespace orioledoor::platform {
namespace {

using nlohmann::json;
using routing::Route;
using routing::RouteTable;
using std::chrono::milliseconds;

// Priority of a route that states none: as urgent as the calls that targets
// make on behalf of requests that already hold a slot.
constexpr int DefaultPriority = 0;
// One day. It keeps the conversion to a duration defined.
constexpr double MaxColdStartSeconds = 86'400;

// Reads a version, which is written as eight hexadecimal digits.
std::uint64_t readVersion(const std::string &Text) {
  std::uint64_t Version = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Version, 16);
  if (Error != std::errc() || Stop != End || Version == 0)
    throw std::out_of_range("version \"" + Text + "\"");
  return Version;
}

// Returns the value of the field, or Default if it is absent or null.
template <typename T>
T readFieldOr(const json &Object, const char *Field, T Default) {
  auto Found = Object.find(Field);
  return Found == Object.end() || Found->is_null() ? std::move(Default)
                                                   : Found->get<T>();
}

milliseconds readMilliseconds(const json &Object, const char *Field) {
  return milliseconds(
      static_cast<std::int64_t>(readFieldOr<double>(Object, Field, 0)));
}

std::vector<routing::WeightedService> readServices(const json &Object) {
  // A single service is stated in "service", several in "trafficSplit".
  if (!Object.contains("trafficSplit") || Object.at("trafficSplit").empty())
    return {{Object.at("service").get<std::string>(), 1}};
  std::vector<routing::WeightedService> Splits;
  for (const json &Split : Object.at("trafficSplit")) {
    routing::WeightedService Parsed{Split.at("service").get<std::string>(),
                                    Split.at("weight").get<double>()};
    if (Parsed.Weight > 0)
      Splits.push_back(std::move(Parsed));
  }
  if (Splits.empty())
    throw std::out_of_range("no part has a weight");
  return Splits;
}

Route readRoute(const std::string &Host, const json &Object) {
  Route Result;
  Result.Name = readFieldOr<std::string>(Object, "name", "");
  Result.Host = Host;
  Result.Prefix = Object.at("pathPrefix").get<std::string>();
  if (!Result.Prefix.starts_with('/') || !Result.Prefix.ends_with('/'))
    throw std::out_of_range("prefix \"" + Result.Prefix + "\"");
  Result.Services = readServices(Object);
  // Requests of the kinds "unsafe" and "upload" run at most once. "download" is
  // "safe" with large answers.
  auto Kind = Object.at("kind").get<std::string>();
  Result.Idempotent = Kind == "safe" || Kind == "download";
  Result.Timeout = readMilliseconds(Object, "timeoutMs");
  Result.TargetLatency = readMilliseconds(Object, "targetLatencyMs");
  Result.Priority = readFieldOr(Object, "priority", DefaultPriority);
  Result.Attempts = std::max(1, readFieldOr(Object, "attempts", 1));
  Result.AllowedRegions =
      readFieldOr<std::vector<std::string>>(Object, "allowedRegions", {});
  return Result;
}

RouteTable readTable(const json &Object) {
  RouteTable Table;
  Table.Version = readVersion(Object.at("version").get<std::string>());
  for (const json &Service : Object.at("services")) {
    routing::ServicePolicy Policy;
    Policy.Name = Service.at("name").get<std::string>();
    Policy.HealthPath =
        readFieldOr<std::string>(Service, "healthPath", "/health");
    Policy.MaxConnections = readFieldOr(Service, "maxConnections", 0U);
    Policy.Partitioned = readFieldOr(Service, "partitioned", false);
    Policy.ColdRequestsPerSecond =
        std::max(0.0, readFieldOr<double>(Service, "coldPerS", 0));
    Policy.ColdTime = milliseconds(static_cast<std::int64_t>(
        1000 * std::clamp(readFieldOr<double>(Service, "coldStartS", 0), 0.0,
                          MaxColdStartSeconds)));
    Table.Services.emplace(Policy.Name, Policy);
  }
  if (Object.contains("limits") && !Object.at("limits").is_null()) {
    const json &Limits = Object.at("limits");
    Table.Limits.MaxHeaderBytes =
        readFieldOr(Limits, "maxHeaderBytes", Table.Limits.MaxHeaderBytes);
    Table.Limits.MaxBodyBytes =
        readFieldOr(Limits, "maxBodyBytes", Table.Limits.MaxBodyBytes);
    if (auto Timeout = readMilliseconds(Limits, "headerTimeoutMs");
        Timeout.count() > 0)
      Table.Limits.HeaderTimeout = Timeout;
    if (auto Timeout = readMilliseconds(Limits, "idleTimeoutMs");
        Timeout.count() > 0)
      Table.Limits.IdleTimeout = Timeout;
  }
  for (const json &Host : Object.at("virtualHosts"))
    for (const json &Path : Host.at("paths"))
      Table.add(readRoute(Host.at("host").get<std::string>(), Path));
  for (const Route &Entry : Table.routes())
    for (const routing::WeightedService &Split : Entry.Services)
      if (!Table.service(Split.Service))
        throw std::out_of_range("route " + Entry.Name + " names no service \"" +
                                Split.Service + "\"");
  Table.finish();
  return Table;
}

} // namespace

absl::StatusOr<RouteTable> decodeConfig(std::string_view Text) {
  try {
    RouteTable Table = readTable(json::parse(Text));
    Table.Document = Text;
    return Table;
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kInvalidArgument, "read configuration",
                     "store", Error.what());
  }
}

} // namespace orioledoor::platform
