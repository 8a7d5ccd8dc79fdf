// The command `status`: what is in force at each node.
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

std::vector<Endpoint> givenNodes(const Invocation &Call) {
  std::vector<Endpoint> Nodes;
  if (!Call.has("node"))
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

ExitStatus status(const Invocation &Call) {
  NodeSource Source{.Store = nullptr, .Nodes = givenNodes(Call)};
  std::optional<StoreSession> Store;
  if (Source.Nodes.empty())
    Source.Store = &Store.emplace(Call.Loop, Call.store());
  absl::Status Waited;
  if (Call.has("wait"))
    Waited = waitForRevision(Call.Loop, Source, Call.requireNumber("wait"),
                             waitTimeout(Call), Call.Terminal.Err);
  auto Nodes = listNodes(Source);
  if (!Nodes.ok())
    return Call.Terminal.fail(Nodes.status());
  std::vector<NodeStatus> Statuses =
      fetchStatuses(Call.Loop, *Nodes, NodeAnswerLimit);
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
  if (!Waited.ok())
    return Call.Terminal.fail(Waited);
  auto Failed = std::ranges::find_if(
      Statuses, [](const NodeStatus &S) { return !S.Error.empty(); });
  if (Failed == Statuses.end())
    return ExitStatus::Success;
  return Call.Terminal.fail(
      makeError(absl::StatusCode::kUnavailable, "read status",
                "node " + formatEndpoint(Failed->Address), Failed->Error));
}

void addOptions(po::options_description &Options) {
  Options.add_options()(
      "node",
      po::value<std::vector<std::string>>()->multitoken()->value_name(
          "IP:PORT..."),
      "the nodes to ask; default: the members in the assignment, which needs "
      "--store")("wait", po::value<std::string>()->value_name("REVISION"),
                 "waits until all nodes have this catalogue revision in force");
  addWaitTimeout(Options);
}

constexpr Command Commands[] = {
    {"status", "", "shows what is in force at each node", addOptions, status},
};

} // namespace

std::span<const Command> statusCommands() { return Commands; }

} // namespace orioledoor::ctl
