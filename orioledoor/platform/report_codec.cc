// JSON of heartbeats.
#include "orioledoor/platform/report_codec.h"

#include <cstdint>
#include <exception>
#include <limits>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"
#include "orioledoor/platform/names.h"

namespace orioledoor::platform {
namespace {

using nlohmann::json;
using routing::TargetReport;

constexpr std::int64_t MaxKey = 65535;
// No target runs more at once; a larger figure is a fault of the writer.
constexpr std::int64_t MaxSlots = 100'000;

std::int64_t wholeNumber(const json &Value, std::int64_t Low,
                         std::int64_t High) {
  if (!Value.is_number_integer())
    throw std::out_of_range("not a whole number");
  auto Number = Value.get<std::int64_t>();
  if (Number < Low || Number > High)
    throw std::out_of_range("number out of range");
  return Number;
}

std::string text(const json &Value) {
  if (!Value.is_string() || Value.get_ref<const std::string &>().empty())
    throw std::out_of_range("not a text");
  return Value.get<std::string>();
}

routing::KeyRange keyRange(const json &Row) {
  auto From = wholeNumber(Row.at(0), 0, MaxKey);
  auto To = wholeNumber(Row.at(1), From, MaxKey);
  return {static_cast<std::uint32_t>(From), static_cast<std::uint32_t>(To)};
}

TargetReport readReport(std::string_view Instance, const json &Body) {
  constexpr auto Max = std::numeric_limits<std::int64_t>::max();
  // "information" holds what stays the same for a life, "status" what changes.
  const json &Fixed = Body.at("information");
  const json &Changing = Body.at("status");
  TargetReport Report;
  Report.Instance = Instance;
  Report.Address = text(Body.at("address"));
  Report.Service = text(Fixed.at("service"));
  Report.FailureDomain = text(Fixed.at("zone"));
  Report.SoftwareVersion = text(Fixed.at("version"));
  Report.Slots =
      static_cast<std::uint32_t>(wholeNumber(Fixed.at("slots"), 1, MaxSlots));
  std::string State = text(Changing.at("state"));
  if (State != "ready" && State != "draining")
    throw std::out_of_range("unknown state " + State);
  Report.Draining = State == "draining";
  Report.Sequence = wholeNumber(Changing.at("sequence"), 0, Max);
  if (Changing.contains("coldRemainingMs"))
    Report.ColdRemaining = std::chrono::milliseconds(
        wholeNumber(Changing.at("coldRemainingMs"), 0, Max / 2000));
  if (Body.contains("born"))
    Report.Born = wholeNumber(Body.at("born"), 0, Max);
  if (Body.contains("holds"))
    for (const json &Row : Body.at("holds"))
      Report.Holds.push_back({keyRange(Row), wholeNumber(Row.at(2), 0, Max)});
  // Ranges that the target gave up, not a number, whatever the name says.
  if (Body.contains("freedCount"))
    for (const json &Row : Body.at("freedCount"))
      Report.Released.push_back({keyRange(Row), Row.at(2).get<std::string>()});
  return Report;
}

} // namespace

absl::StatusOr<TargetReport> decodeReport(std::string_view Path,
                                          std::string_view Body) {
  constexpr std::string_view Prefix = names::HeartbeatPrefix;
  if (!Path.starts_with(Prefix) || Path.size() == Prefix.size())
    return makeError(absl::StatusCode::kInvalidArgument, "read report", Path,
                     "the path names no instance");
  std::string_view Instance = Path.substr(Prefix.size());
  try {
    return readReport(Instance, json::parse(Body));
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kInvalidArgument, "read report",
                     Instance, Error.what());
  }
}

std::string encodeReportAnswer(const routing::ReportAnswer &Answer) {
  json Body = json::object();
  if (Answer.HoldTime.count() > 0) {
    json Rows = json::array();
    for (const routing::GrantedRange &Each : Answer.Grants)
      Rows.push_back({Each.Keys.From, Each.Keys.To, Each.Fence, Each.Handover});
    Body["holds"] = std::move(Rows);
    Body["holdMs"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(Answer.HoldTime)
            .count();
  }
  return Body.dump();
}

std::optional<std::string> decodeDeregisterPath(std::string_view Path) {
  constexpr std::string_view Prefix = names::DeregisterPrefix;
  if (!Path.starts_with(Prefix) || Path.size() == Prefix.size())
    return std::nullopt;
  return std::string(Path.substr(Prefix.size()));
}

} // namespace orioledoor::platform
