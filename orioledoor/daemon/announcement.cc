// Parses and validates the announcements of targets.
#include "orioledoor/daemon/announcement.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/parse_endpoint.h"

namespace orioledoor::daemon {
namespace {

using nlohmann::json;

// Larger counts of slots or connections are rejected as mistakes.
constexpr std::uint32_t MaxCount = 1'000'000;

constexpr std::array<std::pair<std::string_view, TargetState>, 3> StateNames = {
    {
        {"starting", TargetState::Starting},
        {"ready", TargetState::Ready},
        {"leaving", TargetState::Leaving},
    }};

absl::Status invalidAnnouncement(const std::string &Message) {
  return makeError(absl::StatusCode::kInvalidArgument, "read announcement", "",
                   Message);
}

const json *findField(const json &Object, const char *Name) {
  auto Found = Object.find(Name);
  return Found == Object.end() ? nullptr : &*Found;
}

std::optional<std::string> readString(const json &Object, const char *Name) {
  const json *Field = findField(Object, Name);
  if (!Field || !Field->is_string() ||
      Field->get_ref<const std::string &>().empty())
    return std::nullopt;
  return Field->get<std::string>();
}

std::optional<std::uint32_t> readCount(const json &Object, const char *Name) {
  const json *Field = findField(Object, Name);
  if (!Field || !Field->is_number_unsigned())
    return std::nullopt;
  auto Value = Field->get<std::uint64_t>();
  if (Value == 0 || Value > MaxCount)
    return std::nullopt;
  return static_cast<std::uint32_t>(Value);
}

} // namespace

absl::StatusOr<Announcement> decodeAnnouncement(std::string_view Json) {
  json Object = json::parse(Json, nullptr, false);
  if (!Object.is_object())
    return invalidAnnouncement("the body is not a JSON object");
  Announcement Result;
  std::optional<std::string> Service = readString(Object, "service");
  if (!Service)
    return invalidAnnouncement("service: expected a name");
  std::optional<std::string> Address = readString(Object, "address");
  std::optional<Endpoint> ParsedAddress =
      Address ? parseEndpoint(*Address) : std::nullopt;
  if (!ParsedAddress)
    return invalidAnnouncement("address: expected \"IP:PORT\"");
  std::optional<std::uint32_t> Slots = readCount(Object, "slots");
  if (!Slots)
    return invalidAnnouncement("slots: expected a count from 1 to 1000000");
  std::optional<std::uint32_t> Connections = readCount(Object, "connections");
  if (!Connections)
    return invalidAnnouncement(
        "connections: expected a count from 1 to 1000000");
  if (const json *FenceField = findField(Object, "checks_fence")) {
    if (!FenceField->is_boolean())
      return invalidAnnouncement("checks_fence: expected true or false");
    Result.ChecksFence = FenceField->get<bool>();
  }
  if (const json *HealthField = findField(Object, "health")) {
    if (!HealthField->is_string() ||
        !HealthField->get<std::string>().starts_with('/'))
      return invalidAnnouncement(
          "health: expected a path that starts with '/'");
    Result.HealthPath = HealthField->get<std::string>();
  }
  std::string State = readString(Object, "state").value_or("");
  const auto *Entry = std::ranges::find(
      StateNames, State, &std::pair<std::string_view, TargetState>::first);
  if (Entry == StateNames.end())
    return invalidAnnouncement("state: expected starting, ready or leaving");
  Result.Service = *std::move(Service);
  Result.Address = *std::move(ParsedAddress);
  Result.Slots = *Slots;
  Result.Connections = *Connections;
  Result.State = Entry->second;
  return Result;
}

std::string_view targetStateName(TargetState State) {
  return std::ranges::find(StateNames, State,
                           &std::pair<std::string_view, TargetState>::second)
      ->first;
}

} // namespace orioledoor::daemon
