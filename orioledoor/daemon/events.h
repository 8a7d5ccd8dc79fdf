// Log events of the daemon package, numbers 4000 to 4999.
#ifndef ORIOLEDOOR_DAEMON_EVENTS_H
#define ORIOLEDOOR_DAEMON_EVENTS_H

#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::daemon {

inline constexpr EventDefinition NodeStarted{
    4001, Severity::Info, "NODE_STARTED", "the node accepts connections"};
inline constexpr EventDefinition NodeStopping{
    4002, Severity::Info, "NODE_STOPPING",
    "the node received a request to stop"};
inline constexpr EventDefinition NodeStopped{
    4003, Severity::Info, "NODE_STOPPED",
    "the node handed over its slices and answered all requests in flight"};
inline constexpr EventDefinition StopCutShort{
    4004, Severity::Warn, "STOP_CUT_SHORT",
    "the node reached its drain limit and stopped with requests in flight"};
inline constexpr EventDefinition TargetAnnounced{
    4005, Severity::Info, "TARGET_ANNOUNCED",
    "the target on the node's VM announced itself or changed its state"};
inline constexpr EventDefinition TargetDown{
    4006, Severity::Warn, "TARGET_DOWN",
    "the target failed its health probes and answered no request meanwhile"};
inline constexpr EventDefinition TargetBack{
    4007, Severity::Info, "TARGET_BACK",
    "a lost target answers its health probes again"};
inline constexpr EventDefinition GrantRefused{
    4008, Severity::Warn, "GRANT_REFUSED",
    "the target did not accept a grant of the permission to serve"};
inline constexpr EventDefinition MessageRefused{
    4009, Severity::Warn, "MESSAGE_REFUSED",
    "a message from a peer could not be decoded"};
inline constexpr EventDefinition CatalogueUnusable{
    4010, Severity::Error, "CATALOGUE_UNUSABLE",
    "a published catalogue could not be parsed; the previous one stays in "
    "force"};

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_EVENTS_H
