// Numbered log events of the request path, 2000 to 2999.
#ifndef ORIOLEDOOR_REQUESTS_EVENTS_H
#define ORIOLEDOOR_REQUESTS_EVENTS_H

#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::requests::events {

inline constexpr EventDefinition SliceAdopted{
    2001, Severity::Debug, "SLICE_ADOPTED",
    "the node serves a slice, and its operation table is complete"};
inline constexpr EventDefinition HistoryStarted{
    2002, Severity::Debug, "HISTORY_STARTED",
    "the node serves a slice whose earlier operations are unknown"};
inline constexpr EventDefinition TableMalformed{
    2003, Severity::Error, "TABLE_MALFORMED",
    "an operation table could not be decoded; the slice starts a new history"};
inline constexpr EventDefinition SliceDrainedEvent{
    2004, Severity::Debug, "SLICE_DRAINED",
    "no request of the slice is running and none may start on this node"};
inline constexpr EventDefinition SliceDropped{
    2005, Severity::Debug, "SLICE_DROPPED",
    "the node no longer serves a slice"};
inline constexpr EventDefinition TargetCrash{
    2010, Severity::Error, "TARGET_CRASH",
    "the target was lost while it ran a request"};
inline constexpr EventDefinition RequestQuarantined{
    2011, Severity::Error, "REQUEST_QUARANTINED",
    "two targets were lost while they ran a request, which is now refused"};
inline constexpr EventDefinition HopLimitReached{
    2020, Severity::Warn, "HOP_LIMIT_REACHED",
    "a request reached the hop limit; nodes disagree about the owner"};
inline constexpr EventDefinition PeerUnreachable{
    2040, Severity::Warn, "PEER_UNREACHABLE",
    "the connection to a peer was lost before it answered all requests"};

} // namespace orioledoor::requests::events

#endif // ORIOLEDOOR_REQUESTS_EVENTS_H
