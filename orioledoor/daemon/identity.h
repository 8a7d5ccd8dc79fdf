// The identity of a node process: its addresses and random seeds.
#ifndef ORIOLEDOOR_DAEMON_IDENTITY_H
#define ORIOLEDOOR_DAEMON_IDENTITY_H

#include <cstdint>
#include <string>

#include "orioledoor/ownership/local_node.h"

namespace orioledoor {
struct Endpoint;
struct Settings;
} // namespace orioledoor

namespace orioledoor::daemon {

// Returns 64 random bits from the system's entropy source.
std::uint64_t randomSeed();

// Formats the peer address of a node: "tcp://IP:PORT".
std::string formatPeerAddress(const Endpoint &Address);

// Creates a new incarnation, with a new random seed, of the node that the
// settings describe.
ownership::LocalNode makeLocalNode(const Settings &NodeSettings);

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_IDENTITY_H
