// Numbered log events as plain data. Each package defines its events in its
// events.h. The state machines (reducers) return LogRecords as effects, and the
// I/O code passes them to Logger.
//
//   inline constexpr EventDefinition MemberReleased{
//       1003, Severity::Warn, "MEMBER_RELEASED", "guardian released a member"};
//   Effects.push_back(LogRecord{&MemberReleased, {{"member", "7"}}});
//
// Number ranges: 1000 ownership, 2000 requests and routing, 3000 wire, 4000
// daemon and sidecar, 5000 catalogue, 6000 store and platform, 7000 oriolectl,
// 8000 standins.
#ifndef ORIOLEDOOR_TELEMETRY_LOG_RECORD_H
#define ORIOLEDOOR_TELEMETRY_LOG_RECORD_H

#include <string>
#include <vector>

namespace orioledoor {

enum class Severity { Debug, Info, Warn, Error };

// A kind of log event. docs/events.md documents each for operators.
struct EventDefinition {
  int Number;
  Severity Level;
  const char *Name;
  const char *Description;
};

struct LogField {
  std::string Name;
  std::string Value;
};

// One occurrence of an event, with the values of its fields.
struct LogRecord {
  // Never null; points to a constant with static storage.
  const EventDefinition *Event;
  std::vector<LogField> Fields;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_TELEMETRY_LOG_RECORD_H
