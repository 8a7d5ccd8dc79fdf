// Polls the status of all nodes at a fixed interval.
#include "orioledoor/oriolectl/node_wait.h"

#include <algorithm>
#include <optional>
#include <ostream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/parse_endpoint.h"
#include "orioledoor/oriolectl/event_loop.h"
#include "orioledoor/oriolectl/node_status.h"
#include "orioledoor/oriolectl/store_session.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ctl {
namespace {

// Allows ten polls within the 5 s in which a change must be in force at all
// nodes.
constexpr Duration PollInterval = std::chrono::milliseconds(500);
constexpr std::uint64_t DefaultTimeoutSeconds = 30;
constexpr std::uint64_t MaxTimeoutSeconds = 3600;
// The number of nodes that the timeout error lists by name.
constexpr std::size_t MaxNamedNodes = 10;

std::string describeNode(const NodeStatus &Status) {
  std::string Address = formatEndpoint(Status.Address);
  if (!Status.Error.empty())
    return absl::StrCat(Address, " (", Status.Error, ")");
  return absl::StrCat(Address, " (", Status.Node, ", revision ",
                      Status.CatalogueRevision, ")");
}

absl::Status waitTimeoutError(std::uint64_t Revision,
                              const std::vector<NodeStatus> &Lagging) {
  if (Lagging.empty())
    return makeError(absl::StatusCode::kDeadlineExceeded, "wait for nodes", "",
                     "the assignment lists no members");
  std::vector<std::string> Descriptions;
  std::ranges::transform(Lagging, std::back_inserter(Descriptions),
                         describeNode);
  std::size_t OmittedNodes = Descriptions.size() > MaxNamedNodes
                                 ? Descriptions.size() - MaxNamedNodes
                                 : 0;
  Descriptions.resize(Descriptions.size() - OmittedNodes);
  std::string Suffix =
      OmittedNodes == 0 ? "" : absl::StrCat(" and ", OmittedNodes, " more");
  return makeError(absl::StatusCode::kDeadlineExceeded, "wait for nodes", "",
                   absl::StrCat("revision ", Revision, " is not in force at ",
                                absl::StrJoin(Descriptions, ", "), Suffix));
}

} // namespace

std::vector<Endpoint>
liveMemberAddresses(const ownership::Assignment &Recorded) {
  std::vector<Endpoint> Nodes;
  for (const ownership::Member &Member : Recorded.Members) {
    std::optional<Endpoint> Address = parseEndpoint(Member.HttpAddress);
    if (Address && !Member.Deposed)
      Nodes.push_back(*Address);
  }
  return Nodes;
}

absl::StatusOr<std::vector<Endpoint>> resolveNodes(const NodeSource &Source) {
  if (!Source.Nodes.empty())
    return Source.Nodes;
  auto Entry = Source.Store->readKey(keys::Assignment);
  if (!Entry.ok())
    return Entry.status();
  if (!*Entry)
    return std::vector<Endpoint>();
  auto Recorded = ownership::decodeAssignment((*Entry)->Value);
  if (!Recorded.ok())
    return Recorded.status();
  return liveMemberAddresses(*Recorded);
}

absl::Status waitForRevision(EventLoop &Loop, const NodeSource &Source,
                             std::uint64_t Revision, Duration Timeout,
                             std::ostream &Progress) {
  Instant Deadline = readClock() + Timeout;
  auto Nodes = resolveNodes(Source);
  if (!Nodes.ok())
    return Nodes.status();
  std::string LastLine;
  while (true) {
    std::vector<NodeStatus> Lagging =
        fetchStatuses(Loop, *Nodes, NodeStatusTimeout);
    std::size_t TotalNodes = Lagging.size();
    std::erase_if(Lagging, [&](const NodeStatus &Status) {
      return Status.Error.empty() && Status.CatalogueRevision >= Revision;
    });
    std::string Line = absl::StrCat("revision ", Revision, " in force at ",
                                    TotalNodes - Lagging.size(), " of ",
                                    TotalNodes, " nodes\n");
    if (Line != LastLine)
      Progress << Line << std::flush;
    LastLine = Line;
    // An empty member list does not prove that the revision is in force.
    if (Lagging.empty() && TotalNodes != 0)
      return absl::OkStatus();
    if (readClock() + PollInterval >= Deadline)
      return waitTimeoutError(Revision, Lagging);
    Loop.runFor(PollInterval);
    // If the store is unavailable, the next poll uses the last known nodes.
    auto Refreshed = resolveNodes(Source);
    if (Refreshed.ok())
      Nodes = std::move(Refreshed);
  }
}

void addWaitTimeoutOption(
    boost::program_options::options_description &Options) {
  Options.add_options()(
      "timeout",
      boost::program_options::value<std::string>()->value_name("SECONDS"),
      "ends --wait with status 6; default 30");
}

Duration parseWaitTimeout(const Invocation &Call) {
  std::uint64_t Seconds =
      Call.optionNumber("timeout").value_or(DefaultTimeoutSeconds);
  if (Seconds == 0 || Seconds > MaxTimeoutSeconds)
    throw UsageError(absl::StrCat("--timeout is ", Seconds, "; expected 1 to ",
                                  MaxTimeoutSeconds, " seconds"));
  return std::chrono::seconds(Seconds);
}

} // namespace orioledoor::ctl
