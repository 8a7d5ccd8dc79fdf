// JSON of node entries.
#include "orioledoor/sidecar/node_entry.h"

#include <exception>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"

namespace orioledoor::sidecar {
namespace {

using nlohmann::json;
using routing::TargetRef;
using routing::TargetState;

json toJson(const TargetRef &Target) {
  return {Target.Instance, Target.StartTimeMs, Target.Node};
}

TargetRef targetFrom(const json &In) { return {In.at(0), In.at(1), In.at(2)}; }

} // namespace

std::string encodeNodeEntry(const NodeEntry &Entry) {
  json Whole = {{"node", Entry.Node},
                {"process", Entry.Process},
                {"failure_domain", Entry.Place.FailureDomain},
                {"region", Entry.Place.Region},
                {"target", toJson(Entry.Target)},
                {"service", Entry.Service},
                {"state", static_cast<int>(Entry.State)},
                {"slots", Entry.Slots},
                {"link_bytes_per_second", Entry.LinkBytesPerSecond},
                {"sequence", Entry.Sequence},
                {"ended", toJson(Entry.Ended)}};
  return Whole.dump();
}

absl::StatusOr<NodeEntry> decodeNodeEntry(std::string_view Text) {
  try {
    json In = json::parse(Text);
    NodeEntry Entry;
    Entry.Node = In.at("node");
    Entry.Process = In.at("process");
    Entry.Place = {In.at("failure_domain"), In.at("region")};
    Entry.Target = targetFrom(In.at("target"));
    Entry.Service = In.at("service");
    int State = In.at("state");
    if (State < 0 || State > static_cast<int>(TargetState::Leaving))
      throw std::out_of_range("unknown state");
    Entry.State = static_cast<TargetState>(State);
    Entry.Slots = In.at("slots");
    // Entries of earlier releases lack it.
    Entry.LinkBytesPerSecond =
        In.value("link_bytes_per_second", std::uint64_t{0});
    Entry.Sequence = In.at("sequence");
    Entry.Ended = targetFrom(In.at("ended"));
    return Entry;
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kInvalidArgument, "read node entry", "",
                     Error.what());
  }
}

} // namespace orioledoor::sidecar
