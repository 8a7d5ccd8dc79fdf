// Checks an announcement field by field.
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

// More would not be a count of slots but a mistake.
constexpr std::uint32_t MaxCount = 1'000'000;

constexpr std::array<std::pair<std::string_view, TargetState>, 3> States = {{
    {"starting", TargetState::Starting},
    {"ready", TargetState::Ready},
    {"leaving", TargetState::Leaving},
}};

absl::Status invalid(const std::string &Message) {
  return makeError(absl::StatusCode::kInvalidArgument, "read announcement", "",
                   Message);
}

const json *fieldOf(const json &In, const char *Name) {
  auto Found = In.find(Name);
  return Found == In.end() ? nullptr : &*Found;
}

std::optional<std::string> textOf(const json &In, const char *Name) {
  const json *Field = fieldOf(In, Name);
  if (!Field || !Field->is_string() ||
      Field->get_ref<const std::string &>().empty())
    return std::nullopt;
  return Field->get<std::string>();
}

std::optional<std::uint32_t> countOf(const json &In, const char *Name) {
  const json *Field = fieldOf(In, Name);
  if (!Field || !Field->is_number_unsigned())
    return std::nullopt;
  auto Value = Field->get<std::uint64_t>();
  if (Value == 0 || Value > MaxCount)
    return std::nullopt;
  return static_cast<std::uint32_t>(Value);
}

} // namespace

absl::StatusOr<Announcement> decodeAnnouncement(std::string_view Json) {
  json In = json::parse(Json, nullptr, false);
  if (!In.is_object())
    return invalid("the body is not a JSON object");
  Announcement Result;
  std::optional<std::string> Service = textOf(In, "service");
  if (!Service)
    return invalid("service: expected a name");
  std::optional<std::string> Address = textOf(In, "address");
  std::optional<Endpoint> Parsed =
      Address ? parseEndpoint(*Address) : std::nullopt;
  if (!Parsed)
    return invalid("address: expected \"IP:PORT\"");
  std::optional<std::uint32_t> Slots = countOf(In, "slots");
  if (!Slots)
    return invalid("slots: expected a count from 1 to 1000000");
  std::optional<std::uint32_t> Connections = countOf(In, "connections");
  if (!Connections)
    return invalid("connections: expected a count from 1 to 1000000");
  if (const json *Checks = fieldOf(In, "checks_fence")) {
    if (!Checks->is_boolean())
      return invalid("checks_fence: expected true or false");
    Result.ChecksFence = Checks->get<bool>();
  }
  if (const json *Health = fieldOf(In, "health")) {
    if (!Health->is_string() || !Health->get<std::string>().starts_with('/'))
      return invalid("health: expected a path that starts with '/'");
    Result.HealthPath = Health->get<std::string>();
  }
  std::string State = textOf(In, "state").value_or("");
  const auto *Known = std::ranges::find(
      States, State, &std::pair<std::string_view, TargetState>::first);
  if (Known == States.end())
    return invalid("state: expected starting, ready or leaving");
  Result.Service = *std::move(Service);
  Result.Address = *std::move(Parsed);
  Result.Slots = *Slots;
  Result.Connections = *Connections;
  Result.State = Known->second;
  return Result;
}

std::string_view nameOf(TargetState State) {
  return std::ranges::find(States, State,
                           &std::pair<std::string_view, TargetState>::second)
      ->first;
}

} // namespace orioledoor::daemon
