// Log events of the daemon package, numbers 4000 to 4999.
#ifndef ORIOLEDOOR_DAEMON_EVENTS_H
#define ORIOLEDOOR_DAEMON_EVENTS_H

#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::daemon {

inline constexpr EventDefinition NodeStarted{
    4001, Severity::Info, "NODE_STARTED", "the node listens"};
inline constexpr EventDefinition NodeStopping{
    4002, Severity::Info, "NODE_STOPPING", "the node was asked to stop"};
inline constexpr EventDefinition NodeStopped{
    4003, Severity::Info, "NODE_STOPPED",
    "the node handed over its duties and answered what was in flight"};
inline constexpr EventDefinition StopCutShort{
    4004, Severity::Warn, "STOP_CUT_SHORT",
    "the node stopped although requests were still in flight"};
inline constexpr EventDefinition TargetAnnounced{
    4005, Severity::Info, "TARGET_ANNOUNCED",
    "the target beside the node announced itself or changed its state"};
inline constexpr EventDefinition TargetDown{
    4006, Severity::Warn, "TARGET_DOWN",
    "the target failed its probes and answered no request meanwhile"};
inline constexpr EventDefinition TargetBack{
    4007, Severity::Info, "TARGET_BACK",
    "a target that was lost answers its probes again"};
inline constexpr EventDefinition GrantRefused{
    4008, Severity::Warn, "GRANT_REFUSED",
    "the target did not accept a grant of the right to work"};
inline constexpr EventDefinition MessageRefused{
    4009, Severity::Warn, "MESSAGE_REFUSED",
    "a message from a peer could not be decoded"};
inline constexpr EventDefinition CatalogueUnusable{
    4010, Severity::Error, "CATALOGUE_UNUSABLE",
    "a catalogue in force could not be parsed; the previous one stays"};

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_EVENTS_H
