// Log events of the store client, numbers 6000 to 6999.
#ifndef ORIOLEDOOR_PLATFORM_EVENTS_H
#define ORIOLEDOOR_PLATFORM_EVENTS_H

#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::platform::events {

inline constexpr EventDefinition StoreWatchInterrupted{
    6001, Severity::Warn, "STORE_WATCH_INTERRUPTED",
    "a watch of the store failed without a response; it is reopened"};
inline constexpr EventDefinition StoreWatchResumed{
    6002, Severity::Info, "STORE_WATCH_RESUMED",
    "a watch that was interrupted receives responses again"};

} // namespace orioledoor::platform::events

#endif // ORIOLEDOOR_PLATFORM_EVENTS_H
