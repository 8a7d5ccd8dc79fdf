// Polls the nodes' status in rounds.
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

// Ten rounds within the 5 s in which a change is to be in force everywhere.
constexpr Duration RoundPause = std::chrono::milliseconds(500);
constexpr std::uint64_t DefaultTimeout = 30;
constexpr std::uint64_t MaxTimeout = 3600;
// Nodes that a timeout names.
constexpr std::size_t NamedNodes = 10;

std::string describe(const NodeStatus &Status) {
  std::string Address = formatEndpoint(Status.Address);
  if (!Status.Error.empty())
    return absl::StrCat(Address, " (", Status.Error, ")");
  return absl::StrCat(Address, " (", Status.Node, ", revision ",
                      Status.CatalogueRevision, ")");
}

absl::Status timedOut(std::uint64_t Revision,
                      const std::vector<NodeStatus> &Missing) {
  if (Missing.empty())
    return makeError(absl::StatusCode::kDeadlineExceeded, "wait for nodes", "",
                     "the assignment lists no members");
  std::vector<std::string> Names;
  std::ranges::transform(Missing, std::back_inserter(Names), describe);
  std::size_t More = Names.size() > NamedNodes ? Names.size() - NamedNodes : 0;
  Names.resize(Names.size() - More);
  std::string Rest = More == 0 ? "" : absl::StrCat(" and ", More, " more");
  return makeError(absl::StatusCode::kDeadlineExceeded, "wait for nodes", "",
                   absl::StrCat("revision ", Revision, " is not in force at ",
                                absl::StrJoin(Names, ", "), Rest));
}

} // namespace

std::vector<Endpoint> membersOf(const ownership::Assignment &Recorded) {
  std::vector<Endpoint> Nodes;
  for (const ownership::Member &Member : Recorded.Members) {
    std::optional<Endpoint> Address = parseEndpoint(Member.HttpAddress);
    if (Address && !Member.Deposed)
      Nodes.push_back(*Address);
  }
  return Nodes;
}

absl::StatusOr<std::vector<Endpoint>> listNodes(const NodeSource &Source) {
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
  return membersOf(*Recorded);
}

absl::Status waitForRevision(EventLoop &Loop, const NodeSource &Source,
                             std::uint64_t Revision, Duration Limit,
                             std::ostream &Progress) {
  Instant End = readClock() + Limit;
  auto Nodes = listNodes(Source);
  if (!Nodes.ok())
    return Nodes.status();
  std::string Shown;
  while (true) {
    std::vector<NodeStatus> Missing =
        fetchStatuses(Loop, *Nodes, NodeAnswerLimit);
    std::size_t All = Missing.size();
    std::erase_if(Missing, [&](const NodeStatus &Status) {
      return Status.Error.empty() && Status.CatalogueRevision >= Revision;
    });
    std::string Line =
        absl::StrCat("revision ", Revision, " in force at ",
                     All - Missing.size(), " of ", All, " nodes\n");
    if (Line != Shown)
      Progress << Line << std::flush;
    Shown = Line;
    // Without members nothing shows that the nodes follow.
    if (Missing.empty() && All != 0)
      return absl::OkStatus();
    if (readClock() + RoundPause >= End)
      return timedOut(Revision, Missing);
    Loop.pause(RoundPause);
    // During an outage of the store the nodes known so far are asked.
    auto Listed = listNodes(Source);
    if (Listed.ok())
      Nodes = std::move(Listed);
  }
}

void addWaitTimeout(boost::program_options::options_description &Options) {
  Options.add_options()(
      "timeout",
      boost::program_options::value<std::string>()->value_name("SECONDS"),
      "ends --wait with status 6; default 30");
}

Duration waitTimeout(const Invocation &Call) {
  std::uint64_t Seconds = Call.number("timeout").value_or(DefaultTimeout);
  if (Seconds == 0 || Seconds > MaxTimeout)
    throw UsageError(absl::StrCat("--timeout is ", Seconds, "; expected 1 to ",
                                  MaxTimeout, " seconds"));
  return std::chrono::seconds(Seconds);
}

} // namespace orioledoor::ctl
