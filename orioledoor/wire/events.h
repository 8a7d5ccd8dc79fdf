// Log events of the wire package, numbers 3000 to 3999.
#ifndef ORIOLEDOOR_WIRE_EVENTS_H
#define ORIOLEDOOR_WIRE_EVENTS_H

#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::wire {

inline constexpr EventDefinition PeerConnectionLost{
    3001, Severity::Warn, "PEER_CONNECTION_LOST",
    "the connection to a peer was closed or stopped responding; the next send "
    "dials a new one"};
inline constexpr EventDefinition PeerUnreachable{
    3002, Severity::Warn, "PEER_UNREACHABLE",
    "no connection to a peer was established in time; queued frames were not "
    "sent"};
inline constexpr EventDefinition FrameRefused{
    3003, Severity::Warn, "FRAME_REFUSED",
    "a message from a peer was malformed or of an unknown protocol version"};

} // namespace orioledoor::wire

#endif // ORIOLEDOOR_WIRE_EVENTS_H
