// Implements the command `status`, which shows the revisions in force at each
// node.
#include <algorithm>
#include <optional>

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/parse_endpoint.h"
#include "orioledoor/oriolectl/commands.h"
#include "orioledoor/oriolectl/node_status.h"
#include "orioledoor/oriolectl/node_wait.h"
#include "orioledoor/oriolectl/store_session.h"

namespace orioledoor::ctl {
namespace {

namespace po = boost::program_options;

std::vector<Endpoint> parseNodeOption(const Invocation &Call) {
  std::vector<Endpoint> Nodes;
  if (!Call.hasOption("node"))
    return Nodes;
  for (const std::string &Text :
       Call.Options["node"].as<std::vector<std::string>>()) {
    std::optional<Endpoint> Node = parseEndpoint(Text);
    if (!Node)
      throw UsageError("--node is \"" + Text + "\"; expected IP:PORT");
    Nodes.push_back(*Node);
  }
  return Nodes;
}

ExitStatus runStatus(const Invocation &Call) {
  NodeSource Source{.Store = nullptr, .Nodes = parseNodeOption(Call)};
  std::optional<StoreSession> Store;
  if (Source.Nodes.empty())
    Source.Store = &Store.emplace(Call.Loop, Call.storeAddress());
  absl::Status WaitStatus;
  if (Call.hasOption("wait"))
    WaitStatus = waitForRevision(Call.Loop, Source, Call.requireNumber("wait"),
                                 parseWaitTimeout(Call), Call.Terminal.Err);
  auto Nodes = resolveNodes(Source);
  if (!Nodes.ok())
    return Call.Terminal.reportError(Nodes.status());
  std::vector<NodeStatus> Statuses =
      fetchStatuses(Call.Loop, *Nodes, NodeStatusTimeout);
  nlohmann::json Records = nlohmann::json::array();
  std::ranges::transform(Statuses, std::back_inserter(Records), statusJson);
  printRecords(Call.Terminal,
               {{"address", "ADDRESS"},
                {"node", "NODE"},
                {"member", "MEMBER"},
                {"catalogue_revision", "CATALOGUE"},
                {"assignment_version", "ASSIGNMENT"},
                {"slices_owned", "SLICES"},
                {"permission_ms", "PERMISSION MS"},
                {"ready", "READY"},
                {"error", "ERROR"}},
               Records);
  if (!WaitStatus.ok())
    return Call.Terminal.reportError(WaitStatus);
  auto Failed = std::ranges::find_if(
      Statuses, [](const NodeStatus &S) { return !S.Error.empty(); });
  if (Failed == Statuses.end())
    return ExitStatus::Success;
  return Call.Terminal.reportError(
      makeError(absl::StatusCode::kUnavailable, "read status",
                "node " + formatEndpoint(Failed->Address), Failed->Error));
}

void addStatusOptions(po::options_description &Options) {
  Options.add_options()(
      "node",
      po::value<std::vector<std::string>>()->multitoken()->value_name(
          "IP:PORT..."),
      "the nodes to ask; default: the members in the assignment, which needs "
      "--store")("wait", po::value<std::string>()->value_name("REVISION"),
                 "waits until all nodes have this catalogue revision in force");
  addWaitTimeoutOption(Options);
}

constexpr Command Commands[] = {
    {"status", "", "shows what is in force at each node", addStatusOptions,
     runStatus},
};

} // namespace

std::span<const Command> statusCommands() { return Commands; }

} // namespace orioledoor::ctl
