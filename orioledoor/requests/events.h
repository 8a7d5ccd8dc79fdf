// Numbered log events of the request path, 2000 to 2999.
#ifndef ORIOLEDOOR_REQUESTS_EVENTS_H
#define ORIOLEDOOR_REQUESTS_EVENTS_H

#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::requests::events {

inline constexpr EventDefinition SliceAdopted{
    2001, Severity::Debug, "SLICE_ADOPTED",
    "the node serves a slice with a complete table of operations"};
inline constexpr EventDefinition HistoryStarted{
    2002, Severity::Debug, "HISTORY_STARTED",
    "the node serves a slice whose earlier operations are unknown"};
inline constexpr EventDefinition TableMalformed{
    2003, Severity::Error, "TABLE_MALFORMED",
    "a table of operations could not be decoded; a new history begins"};
inline constexpr EventDefinition SliceDrainedEvent{
    2004, Severity::Debug, "SLICE_DRAINED",
    "no request of the slice runs or may start here"};
inline constexpr EventDefinition SliceDropped{
    2005, Severity::Debug, "SLICE_DROPPED", "the node gave up a slice"};
inline constexpr EventDefinition TargetCrash{
    2010, Severity::Error, "TARGET_CRASH",
    "the target was lost while it ran a request"};
inline constexpr EventDefinition RequestQuarantined{
    2011, Severity::Error, "REQUEST_QUARANTINED",
    "a request was lost with two targets and is refused"};
inline constexpr EventDefinition HopLimitReached{
    2020, Severity::Warn, "HOP_LIMIT_REACHED",
    "a request was passed on too often; routes disagree"};
inline constexpr EventDefinition PeerUnreachable{
    2040, Severity::Warn, "PEER_UNREACHABLE",
    "requests to a peer were left without an answer"};

} // namespace orioledoor::requests::events

#endif // ORIOLEDOOR_REQUESTS_EVENTS_H
