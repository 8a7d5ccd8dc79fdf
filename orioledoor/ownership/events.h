// Log events of the ownership package, numbers 1000 to 1999. Numbers are never
// reused; 1100 to 1199 are reserved for the coordinator.
#ifndef ORIOLEDOOR_OWNERSHIP_EVENTS_H
#define ORIOLEDOOR_OWNERSHIP_EVENTS_H

#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::ownership::events {

inline constexpr EventDefinition JoinRequested{
    1000, Severity::Info, "JOIN_REQUESTED",
    "the node wrote a join request to the store"};
inline constexpr EventDefinition MemberAdmitted{
    1001, Severity::Info, "MEMBER_ADMITTED",
    "the node found itself in the assignment"};
inline constexpr EventDefinition MemberLeft{
    1002, Severity::Warn, "MEMBER_LEFT",
    "the node stopped serving and granting and announced that it left"};
inline constexpr EventDefinition MemberReleased{
    1003, Severity::Warn, "MEMBER_RELEASED",
    "this guardian stopped granting to a member and its last grant has ended"};
inline constexpr EventDefinition MemberDeposed{
    1004, Severity::Warn, "MEMBER_DEPOSED",
    "this guardian concluded that a member holds no permission and cannot "
    "obtain one again"};
inline constexpr EventDefinition PermissionGained{
    1005, Severity::Info, "PERMISSION_GAINED",
    "the node holds a permission again"};
inline constexpr EventDefinition PermissionLost{
    1006, Severity::Warn, "PERMISSION_LOST",
    "the node's permission ended; its slices are not served"};
inline constexpr EventDefinition SlicesChanged{
    1007, Severity::Info, "SLICES_CHANGED",
    "the set of slices that the node owns changed"};
inline constexpr EventDefinition SliceYielded{
    1008, Severity::Info, "SLICE_YIELDED",
    "a planned move passed a slice to another member"};
inline constexpr EventDefinition MovePostponed{
    1009, Severity::Warn, "MOVE_POSTPONED",
    "work in flight did not end in time; this node continues to serve the "
    "slice"};
inline constexpr EventDefinition AssignmentApplied{
    1010, Severity::Info, "ASSIGNMENT_APPLIED",
    "a newer assignment is active on this node"};
inline constexpr EventDefinition AssignmentRejected{
    1011, Severity::Error, "ASSIGNMENT_REJECTED",
    "an assignment could not be decoded"};
inline constexpr EventDefinition CatalogueApplied{
    1012, Severity::Info, "CATALOGUE_APPLIED",
    "a newer catalogue is active on this node"};
inline constexpr EventDefinition CatalogueRejected{
    1013, Severity::Error, "CATALOGUE_REJECTED",
    "a catalogue failed validation; the previous one stays active"};
inline constexpr EventDefinition StoreCallFailed{
    1014, Severity::Warn, "STORE_CALL_FAILED",
    "a call to the store failed and will be repeated"};
inline constexpr EventDefinition WatchEnded{
    1015, Severity::Warn, "WATCH_ENDED",
    "the store watch ended and will be opened again"};
inline constexpr EventDefinition StopStarted{
    1016, Severity::Info, "STOP_STARTED",
    "the node is leaving; its slices and guardian duties are being moved"};
inline constexpr EventDefinition StopOverdue{
    1017, Severity::Warn, "STOP_OVERDUE",
    "the node leaves although slices or guardian duties were not taken over in "
    "time"};

} // namespace orioledoor::ownership::events

#endif // ORIOLEDOOR_OWNERSHIP_EVENTS_H
