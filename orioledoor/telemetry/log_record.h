// Numbered log events as data. A package lists its events in its events.h;
// reducers return LogRecords as effects and the shell passes them to Logger.
//
//   inline constexpr EventDefinition MemberReleased{
//       1003, Severity::Warn, "MEMBER_RELEASED", "guardian released a member"};
//   Effects.push_back(LogRecord{&MemberReleased, {{"member", "7"}}});
//
// Number ranges: 1000 ownership, 2000 requests, 3000 wire, 4000 daemon,
// 5000 catalogue, 6000 store, 7000 oriolectl.
#ifndef ORIOLEDOOR_TELEMETRY_LOG_RECORD_H
#define ORIOLEDOOR_TELEMETRY_LOG_RECORD_H

#include <string>
#include <vector>

namespace orioledoor {

enum class Severity { Debug, Info, Warn, Error };

// One entry of docs/events.md.
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

// One occurrence of an event.
struct LogRecord {
  // Never null; points to a constant with static storage.
  const EventDefinition *Event;
  std::vector<LogField> Fields;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_TELEMETRY_LOG_RECORD_H
