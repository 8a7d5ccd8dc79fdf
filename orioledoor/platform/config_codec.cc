// JSON of the configuration.
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

// Without a rank a route is as urgent as the calls that targets make for
// requests which hold a slot already.
constexpr int DefaultPriority = 0;

// Versions are written as eight hexadecimal digits.
std::uint64_t readVersion(const std::string &Text) {
  std::uint64_t Version = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Version, 16);
  if (Error != std::errc() || Stop != End || Version == 0)
    throw std::out_of_range("version \"" + Text + "\"");
  return Version;
}

// The field's value; Default if it is absent or null.
template <typename T> T readOr(const json &In, const char *Field, T Default) {
  auto Found = In.find(Field);
  return Found == In.end() || Found->is_null() ? std::move(Default)
                                               : Found->get<T>();
}

milliseconds readMillis(const json &In, const char *Field) {
  return milliseconds(static_cast<std::int64_t>(readOr<double>(In, Field, 0)));
}

std::vector<routing::WeightedService> readServices(const json &In) {
  // A single service stands under "service", parts under "trafficSplit".
  if (!In.contains("trafficSplit") || In.at("trafficSplit").empty())
    return {{In.at("service").get<std::string>(), 1}};
  std::vector<routing::WeightedService> Parts;
  for (const json &Part : In.at("trafficSplit")) {
    routing::WeightedService Added{Part.at("service").get<std::string>(),
                                   Part.at("weight").get<double>()};
    if (Added.Weight > 0)
      Parts.push_back(std::move(Added));
  }
  if (Parts.empty())
    throw std::out_of_range("no part has a weight");
  return Parts;
}

Route readRoute(const std::string &Host, const json &In) {
  Route Result;
  Result.Name = readOr<std::string>(In, "name", "");
  Result.Host = Host;
  Result.Prefix = In.at("pathPrefix").get<std::string>();
  if (!Result.Prefix.starts_with('/') || !Result.Prefix.ends_with('/'))
    throw std::out_of_range("prefix \"" + Result.Prefix + "\"");
  Result.Services = readServices(In);
  // "unsafe" and "upload" run at most once.
  Result.Idempotent = In.at("kind").get<std::string>() == "safe";
  Result.Timeout = readMillis(In, "timeoutMs");
  Result.TargetLatency = readMillis(In, "targetLatencyMs");
  Result.Priority = readOr(In, "priority", DefaultPriority);
  Result.Attempts = std::max(1, readOr(In, "attempts", 1));
  return Result;
}

RouteTable readTable(const json &In) {
  RouteTable Table;
  Table.Version = readVersion(In.at("version").get<std::string>());
  for (const json &Each : In.at("services")) {
    routing::ServicePolicy Policy;
    Policy.Name = Each.at("name").get<std::string>();
    Policy.HealthPath = readOr<std::string>(Each, "healthPath", "/health");
    Policy.MaxConnections = readOr(Each, "maxConnections", 0U);
    Policy.Partitioned = readOr(Each, "partitioned", false);
    Table.Services.emplace(Policy.Name, Policy);
  }
  if (In.contains("limits") && !In.at("limits").is_null()) {
    const json &Limits = In.at("limits");
    Table.Limits.MaxHeaderBytes =
        readOr(Limits, "maxHeaderBytes", Table.Limits.MaxHeaderBytes);
    Table.Limits.MaxBodyBytes =
        readOr(Limits, "maxBodyBytes", Table.Limits.MaxBodyBytes);
    if (auto Time = readMillis(Limits, "headerTimeoutMs"); Time.count() > 0)
      Table.Limits.HeaderTimeout = Time;
    if (auto Time = readMillis(Limits, "idleTimeoutMs"); Time.count() > 0)
      Table.Limits.IdleTimeout = Time;
  }
  for (const json &Host : In.at("virtualHosts"))
    for (const json &Path : Host.at("paths"))
      Table.add(readRoute(Host.at("host").get<std::string>(), Path));
  for (const Route &Each : Table.routes())
    for (const routing::WeightedService &Part : Each.Services)
      if (!Table.service(Part.Service))
        throw std::out_of_range("route " + Each.Name + " names no service \"" +
                                Part.Service + "\"");
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
