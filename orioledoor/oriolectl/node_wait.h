// Waits until nodes have a catalogue revision in force.
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

// Which nodes a command asks: those given, or, if there are none, the members
// in the assignment.
struct NodeSource {
  // Null only if Nodes is not empty.
  StoreSession *Store = nullptr;
  std::vector<Endpoint> Nodes;
};

// The time that a node has for its answer.
inline constexpr Duration NodeAnswerLimit = std::chrono::seconds(1);

// The HTTP addresses of the members that are not recorded as deposed.
std::vector<Endpoint> membersOf(const ownership::Assignment &Recorded);

// Errors: kUnavailable if the store does not answer, kDataLoss if the
// assignment cannot be read. Empty if there is no assignment yet.
absl::StatusOr<std::vector<Endpoint>> listNodes(const NodeSource &Source);

// Asks the nodes until all have Revision or a later one in force. The members
// are read again each round, so that a node that was lost meanwhile is not
// waited for. Prints a line to Progress whenever the count changes. Errors:
// kDeadlineExceeded after Limit with the nodes that lack the revision, also if
// there are no nodes at all; else as listNodes().
absl::Status waitForRevision(EventLoop &Loop, const NodeSource &Source,
                             std::uint64_t Revision, Duration Limit,
                             std::ostream &Progress);

// Adds --timeout.
void addWaitTimeout(boost::program_options::options_description &Options);

// --timeout, 30 s by default. Throws UsageError.
Duration waitTimeout(const Invocation &Call);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_NODE_WAIT_H
