// The announcement that a target sends to the node on its VM with
// POST /oriole/announce:
//
//   {"service": "consulta", "address": "127.0.0.1:9001", "slots": 20,
//    "connections": 130, "checks_fence": true, "state": "ready",
//    "health": "/oriole/health"}
//
// The fields "checks_fence" and "health" are optional.
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
  // Maximum number of calls that the target runs concurrently.
  std::uint32_t Slots = 0;
  // Maximum number of connections that the target accepts.
  std::uint32_t Connections = 0;
  // Whether the target checks the fencing number of each request.
  bool ChecksFence = false;
  TargetState State = TargetState::Starting;
  // Path of the health probe, which is sent with GET.
  std::string HealthPath = "/oriole/health";
};

// Parses and validates the JSON body of an announcement. Errors:
// kInvalidArgument with the name of the invalid field and the expected value.
absl::StatusOr<Announcement> decodeAnnouncement(std::string_view Json);

// Returns the value of the JSON field "state".
std::string_view targetStateName(TargetState State);

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_ANNOUNCEMENT_H
