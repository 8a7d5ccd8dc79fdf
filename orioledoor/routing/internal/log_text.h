// Formatting of log field values.
#ifndef ORIOLEDOOR_ROUTING_INTERNAL_LOG_TEXT_H
#define ORIOLEDOOR_ROUTING_INTERNAL_LOG_TEXT_H

#include <string>
#include <utility>

#include "orioledoor/base/instant.h"
#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::routing::internal {

// Formats a duration as whole milliseconds.
inline std::string millis(Duration Value) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
}

inline LogField field(const char *Name, std::string Value) {
  return {Name, std::move(Value)};
}

} // namespace orioledoor::routing::internal

#endif // ORIOLEDOOR_ROUTING_INTERNAL_LOG_TEXT_H
