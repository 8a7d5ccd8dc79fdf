// What a target tells the node beside it under POST /oriole/announce.
//
//   {"service": "consulta", "address": "127.0.0.1:9001", "slots": 20,
//    "connections": 130, "checks_fence": true, "state": "ready",
//    "health": "/oriole/health"}
//
// health is optional.
#ifndef ORIOLEDOOR_DAEMON_ANNOUNCEMENT_H
#define ORIOLEDOOR_DAEMON_ANNOUNCEMENT_H

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "orioledoor/catalogue/settings.h"

namespace orioledoor::daemon {

enum class TargetState { Starting, Ready, Leaving };

struct Announcement {
  std::string Service;
  Endpoint Address;
  // Calls that the target runs at the same time.
  std::uint32_t Slots = 0;
  // Connections that the target accepts.
  std::uint32_t Connections = 0;
  bool ChecksFence = false;
  TargetState State = TargetState::Starting;
  // Path that is probed with GET.
  std::string HealthPath = "/oriole/health";
};

// Errors: kInvalidArgument with the field and what was expected.
absl::StatusOr<Announcement> decodeAnnouncement(std::string_view Json);

std::string_view nameOf(TargetState State);

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_ANNOUNCEMENT_H
