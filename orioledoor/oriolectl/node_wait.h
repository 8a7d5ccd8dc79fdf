// Waits until a catalogue revision is in force at all nodes.
//
//   absl::Status Done = waitForRevision(Loop, {.Store = &Store, .Nodes = {}},
//                                       8, std::chrono::seconds(30),
//                                       std::cerr);
#ifndef ORIOLEDOOR_ORIOLECTL_NODE_WAIT_H
#define ORIOLEDOOR_ORIOLECTL_NODE_WAIT_H

#include <cstdint>
#include <iosfwd>
#include <vector>

#include "absl/status/statusor.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/oriolectl/invocation.h"

namespace orioledoor::ownership {
struct Assignment;
} // namespace orioledoor::ownership

namespace orioledoor::ctl {

class EventLoop;
class StoreSession;

// Selects the nodes that a command queries: Nodes, or the members of the
// assignment in Store if Nodes is empty.
struct NodeSource {
  // May be null only if Nodes is not empty.
  StoreSession *Store = nullptr;
  std::vector<Endpoint> Nodes;
};

// The time limit for a node's response to a status request.
inline constexpr Duration NodeStatusTimeout = std::chrono::seconds(1);

// Returns the HTTP addresses of the members that are not recorded as deposed.
std::vector<Endpoint>
liveMemberAddresses(const ownership::Assignment &Recorded);

// Returns the addresses of the selected nodes; empty if there is no assignment
// yet. Errors: kUnavailable if the store does not respond, kDataLoss if the
// assignment cannot be decoded.
absl::StatusOr<std::vector<Endpoint>> resolveNodes(const NodeSource &Source);

// Polls the nodes until all of them have Revision or a later one in force.
// Reads the members again before each poll, so that it does not wait for a node
// that was deposed in the meantime. Prints a line to Progress whenever the
// count changes. Errors: kDeadlineExceeded after Timeout, with the nodes that
// lack the revision, also if there are no nodes at all; otherwise those of
// resolveNodes().
absl::Status waitForRevision(EventLoop &Loop, const NodeSource &Source,
                             std::uint64_t Revision, Duration Timeout,
                             std::ostream &Progress);

// Adds the option --timeout.
void addWaitTimeoutOption(boost::program_options::options_description &Options);

// Returns the value of --timeout, 30 s by default. Throws UsageError if it is
// out of range.
Duration parseWaitTimeout(const Invocation &Call);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_NODE_WAIT_H
