// Numbered log events of the node beside a target.
#ifndef ORIOLEDOOR_SIDECAR_EVENTS_H
#define ORIOLEDOOR_SIDECAR_EVENTS_H

#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::sidecar::events {

inline constexpr EventDefinition SidecarStarted{
    4101, Severity::Info, "SIDECAR_STARTED", "the node accepts connections"};
inline constexpr EventDefinition SidecarStopping{
    4102, Severity::Info, "SIDECAR_STOPPING", "a graceful stop was requested"};
inline constexpr EventDefinition SidecarStopped{
    4103, Severity::Info, "SIDECAR_STOPPED", "the node exits"};
inline constexpr EventDefinition SettingsReloaded{
    4104, Severity::Info, "SETTINGS_RELOADED",
    "the settings file was reloaded"};
inline constexpr EventDefinition SettingsRefused{
    4105, Severity::Error, "SETTINGS_REFUSED",
    "the changed settings file is invalid; the previous settings remain"};
inline constexpr EventDefinition CallerServiceChanged{
    4106, Severity::Info, "CALLER_SERVICE_CHANGED",
    "requests that begin on this VM bear another caller service from now on"};
inline constexpr EventDefinition ConfigInForce{
    4111, Severity::Info, "CONFIG_IN_FORCE", "a configuration came into force"};
inline constexpr EventDefinition ConfigRefused{
    4112, Severity::Error, "CONFIG_REFUSED",
    "a configuration is malformed or older than the one in force"};
inline constexpr EventDefinition ReportUnreadable{
    4113, Severity::Warn, "REPORT_UNREADABLE",
    "a report of the target is malformed"};
inline constexpr EventDefinition EntryUnreadable{
    4114, Severity::Warn, "ENTRY_UNREADABLE",
    "an entry in the store is malformed"};
inline constexpr EventDefinition ConfigBehind{
    4115, Severity::Warn, "CONFIG_BEHIND",
    "this node lacks a newer configuration and requests it from another node"};
inline constexpr EventDefinition ConfigSent{
    4116, Severity::Info, "CONFIG_SENT",
    "the configuration in force was sent to a node that has an older one"};
inline constexpr EventDefinition ReportRefused{
    4117, Severity::Warn, "REPORT_REFUSED",
    "a report does not come from the target that the settings name"};
inline constexpr EventDefinition StoreLost{4121, Severity::Warn, "STORE_LOST",
                                           "the store does not answer"};
inline constexpr EventDefinition StoreRegained{
    4122, Severity::Info, "STORE_REGAINED", "the store answers again"};
inline constexpr EventDefinition LeaseEnded{
    4123, Severity::Warn, "LEASE_ENDED",
    "the lease of this node's entry ended; the entry is written again"};
inline constexpr EventDefinition NodeJoined{
    4124, Severity::Info, "NODE_JOINED",
    "the entry of a new node process appeared"};
inline constexpr EventDefinition NodeGone{
    4125, Severity::Info, "NODE_GONE",
    "the entry of a node was absent for the whole grace period"};
inline constexpr EventDefinition KeysPlanned{
    4131, Severity::Info, "KEYS_PLANNED",
    "this node writes a new plan of key owners to the store"};
inline constexpr EventDefinition KeysTransferred{
    4132, Severity::Info, "KEYS_TRANSFERRED",
    "keys that the target released are recorded for their next owner"};
inline constexpr EventDefinition KeysRefused{
    4133, Severity::Info, "KEYS_REFUSED",
    "the store did not accept a change of key owners"};
inline constexpr EventDefinition KeysGranted{
    4134, Severity::Info, "KEYS_GRANTED",
    "the keys granted to the target changed"};
inline constexpr EventDefinition KeysRetained{
    4135, Severity::Info, "KEYS_RETAINED",
    "keys with a next owner are not passed on, since an earlier process of "
    "this node may have granted them"};
inline constexpr EventDefinition PeerLost{
    4141, Severity::Warn, "PEER_LOST",
    "the connection to another node was lost"};
inline constexpr EventDefinition NodeMessageRefused{
    4142, Severity::Warn, "NODE_MESSAGE_REFUSED",
    "a message from another node is malformed"};
inline constexpr EventDefinition MessageDelayed{
    4143, Severity::Warn, "MESSAGE_DELAYED",
    "a message from another node arrived later than normal"};
inline constexpr EventDefinition EvacuationsRead{
    4160, Severity::Info, "EVACUATIONS_READ",
    "the failure domains that the operator evacuates are known or changed"};
inline constexpr EventDefinition EvacuationOfUnknownDomain{
    4161, Severity::Warn, "EVACUATION_OF_UNKNOWN_DOMAIN",
    "a failure domain is evacuated in which no node is known"};
inline constexpr EventDefinition OperatorKeyIgnored{
    4162, Severity::Warn, "OPERATOR_KEY_IGNORED",
    "a key of the operator has no meaning here"};
inline constexpr EventDefinition RegionUnknown{
    4163, Severity::Warn, "REGION_UNKNOWN",
    "a route allows a region in which no node is known"};
inline constexpr EventDefinition RegionsDisjoint{
    4164, Severity::Warn, "REGIONS_DISJOINT",
    "the routes of a partitioned service have no allowed region in common"};
inline constexpr EventDefinition LogDropped{
    4151, Severity::Warn, "LOG_DROPPED",
    "log lines were dropped by the rate limit"};
inline constexpr EventDefinition LoopDelayed{
    4152, Severity::Warn, "LOOP_DELAYED", "the event loop stood still"};

inline constexpr EventDefinition StoreEraChanged{
    4165, Severity::Warn, "STORE_ERA_CHANGED",
    "the store came back from an older copy; this node joins again"};
inline constexpr EventDefinition KeysRepaired{
    4166, Severity::Warn, "KEYS_REPAIRED",
    "this node writes the newest known key owners to a store that lost them"};
inline constexpr EventDefinition StoreAnswerRefused{
    4167, Severity::Warn, "STORE_ANSWER_REFUSED",
    "an answer of the store states an earlier era or an unreadable one"};

inline constexpr EventDefinition TokensRenewed{
    4168, Severity::Info, "TOKENS_RENEWED",
    "keys that were not held through a rollback of the store get a new token"};

} // namespace orioledoor::sidecar::events

#endif // ORIOLEDOOR_SIDECAR_EVENTS_H
