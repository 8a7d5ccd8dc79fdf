// Log events of package store, numbers 6000 to 6999.
#ifndef ORIOLEDOOR_STORE_EVENTS_H
#define ORIOLEDOOR_STORE_EVENTS_H

#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::events {

inline constexpr EventDefinition StoreCallFailed{
    6000, Severity::Warn, "STORE_CALL_FAILED",
    "a call to the store failed or its answer is unknown"};
inline constexpr EventDefinition StoreWatchOpened{
    6001, Severity::Info, "STORE_WATCH_OPENED",
    "the store confirmed a watch of the project's keys"};
inline constexpr EventDefinition StoreWatchEnded{
    6002, Severity::Warn, "STORE_WATCH_ENDED",
    "a watch of the store ended or fell behind the store"};

} // namespace orioledoor::events

#endif // ORIOLEDOOR_STORE_EVENTS_H
