// JSON encoding of node entries.
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

TargetRef targetFrom(const json &Item) {
  return {Item.at(0), Item.at(1), Item.at(2)};
}

} // namespace

std::string encodeNodeEntry(const NodeEntry &Entry) {
  json Document = {{"node", Entry.Node},
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
  return Document.dump();
}

absl::StatusOr<NodeEntry> decodeNodeEntry(std::string_view Text) {
  try {
    json Document = json::parse(Text);
    NodeEntry Entry;
    Entry.Node = Document.at("node");
    Entry.Process = Document.at("process");
    Entry.Place = {Document.at("failure_domain"), Document.at("region")};
    Entry.Target = targetFrom(Document.at("target"));
    Entry.Service = Document.at("service");
    int State = Document.at("state");
    if (State < 0 || State > static_cast<int>(TargetState::Leaving))
      throw std::out_of_range("unknown state");
    Entry.State = static_cast<TargetState>(State);
    Entry.Slots = Document.at("slots");
    // Entries of earlier releases do not have this field.
    Entry.LinkBytesPerSecond =
        Document.value("link_bytes_per_second", std::uint64_t{0});
    Entry.Sequence = Document.at("sequence");
    Entry.Ended = targetFrom(Document.at("ended"));
    return Entry;
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kInvalidArgument, "read node entry", "",
                     Error.what());
  }
}

} // namespace orioledoor::sidecar
