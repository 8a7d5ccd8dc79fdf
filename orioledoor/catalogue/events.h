// Log events of the catalogue package, numbers 5000 to 5999. Described in
// docs/events.md.
#ifndef ORIOLEDOOR_CATALOGUE_EVENTS_H
#define ORIOLEDOOR_CATALOGUE_EVENTS_H

#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::catalogue_events {

// Fields: revision, author.
inline constexpr EventDefinition CatalogueInForce{
    5001, Severity::Info, "CATALOGUE_IN_FORCE",
    "a newer catalogue revision is in force at this node"};
// Fields: revision, error.
inline constexpr EventDefinition CatalogueUnreadable{
    5002, Severity::Error, "CATALOGUE_UNREADABLE",
    "a published catalogue could not be read; the previous one stays in force"};
// Fields: revision, in_force.
inline constexpr EventDefinition CatalogueOlder{
    5003, Severity::Debug, "CATALOGUE_OLDER",
    "a catalogue revision not above the one in force was ignored"};

inline constexpr const EventDefinition *AllEvents[] = {
    &CatalogueInForce, &CatalogueUnreadable, &CatalogueOlder};

} // namespace orioledoor::catalogue_events

#endif // ORIOLEDOOR_CATALOGUE_EVENTS_H
