// Implements the JSON encoding of reports.
#include "orioledoor/platform/report_codec.h"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <limits>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"
#include "orioledoor/platform/names.h"
#include "orioledoor/store/json_fields.h"

namespace orioledoor::platform {
namespace {

using nlohmann::json;
using routing::TargetReport;

constexpr std::int64_t MaxKey = 65535;
// No target runs more requests at once; a larger value is an error of the
// sender.
constexpr std::uint32_t MaxSlots = 100'000;
// The platform's ids are shorter; this one ends up in a key of at most 200
// bytes.
constexpr std::size_t MaxInstanceBytes = 128;

bool isVisible(char C) { return C > ' ' && C < 0x7f; }

std::string readNonEmptyString(const json &Value) {
  if (!Value.is_string() || Value.get_ref<const std::string &>().empty())
    throw std::out_of_range("not a text");
  return Value.get<std::string>();
}

routing::KeyRange readKeyRange(const json &Row) {
  auto From = readInteger<std::int64_t>(Row.at(0), 0, MaxKey);
  auto To = readInteger<std::int64_t>(Row.at(1), From, MaxKey);
  return {static_cast<std::uint32_t>(From), static_cast<std::uint32_t>(To)};
}

TargetReport readReport(std::string_view Instance, const json &Body) {
  constexpr auto MaxInt64 = std::numeric_limits<std::int64_t>::max();
  // "information" holds the fields that are constant for the lifetime of a
  // target, "status" those that change.
  const json &Information = Body.at("information");
  const json &StatusFields = Body.at("status");
  TargetReport Report;
  Report.Instance = Instance;
  Report.Address = readNonEmptyString(Body.at("address"));
  Report.Service = readNonEmptyString(Information.at("service"));
  Report.FailureDomain = readNonEmptyString(Information.at("zone"));
  Report.SoftwareVersion = readNonEmptyString(Information.at("version"));
  Report.Slots = readInteger(Information.at("slots"), 1U, MaxSlots);
  std::string State = readNonEmptyString(StatusFields.at("state"));
  if (State != "ready" && State != "draining")
    throw std::out_of_range("unknown state " + State);
  Report.Draining = State == "draining";
  Report.Sequence = readInteger<std::int64_t>(StatusFields.at("sequence"), 0);
  if (StatusFields.contains("coldRemainingMs"))
    Report.ColdRemaining = std::chrono::milliseconds(readInteger<std::int64_t>(
        StatusFields.at("coldRemainingMs"), 0, MaxInt64 / 2000));
  if (Body.contains("born"))
    Report.StartTimeMs = readInteger<std::int64_t>(Body.at("born"), 0);
  if (Body.contains("holds"))
    for (const json &Row : Body.at("holds"))
      Report.Holds.push_back(
          {readKeyRange(Row), readInteger<std::int64_t>(Row.at(2), 0)});
  // The key ranges that the target released. The field is a list, despite its
  // name.
  if (Body.contains("freedCount"))
    for (const json &Row : Body.at("freedCount"))
      Report.Released.push_back(
          {readKeyRange(Row), Row.at(2).get<std::string>()});
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
  // The id goes into JSON documents and log lines.
  if (Instance.size() > MaxInstanceBytes ||
      !std::ranges::all_of(Instance, isVisible))
    return makeError(absl::StatusCode::kInvalidArgument, "read report", Path,
                     "the instance is not a printable id");
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
    for (const routing::GrantedRange &Grant : Answer.Grants)
      Rows.push_back(
          {Grant.Keys.From, Grant.Keys.To, Grant.Fence, Grant.Handover});
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
