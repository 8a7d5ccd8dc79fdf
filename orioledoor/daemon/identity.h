// What identifies a node process: its addresses and its random numbers.
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

// From the system's source of randomness.
std::uint64_t randomNumber();

// "tcp://IP:PORT"
std::string peerAddress(const Endpoint &Of);

// A new incarnation of the node that the settings describe.
ownership::LocalNode localNode(const Settings &Own);

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_IDENTITY_H
