// JSON encoding of node entries.
#include "orioledoor/sidecar/node_entry.h"

#include <exception>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/parse_endpoint.h"
#include "orioledoor/catalogue/settings.h"
#include "orioledoor/store/json_fields.h"

namespace orioledoor::sidecar {
namespace {

using nlohmann::json;
using routing::TargetRef;
using routing::TargetState;

// Larger values are errors of the writer, and would attract all requests.
constexpr std::uint32_t MaxSlots = 100'000;
constexpr std::uint64_t MaxLinkBytesPerSecond = 1'000'000'000'000;

json toJson(const TargetRef &Target) {
  return {Target.Instance, Target.StartTimeMs, Target.Node};
}

TargetRef targetFrom(const json &Item) {
  return {Item.at(0), readInteger<std::int64_t>(Item.at(1), 0), Item.at(2)};
}

// Returns the address of a node, to which others must be able to connect.
std::string readNodeAddress(const json &Value) {
  constexpr std::string_view Scheme = "tcp://";
  auto Address = Value.get<std::string>();
  if (!Address.starts_with(Scheme) ||
      !parseEndpoint(std::string_view(Address).substr(Scheme.size())))
    throw std::out_of_range("not the address of a node");
  return Address;
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
  if (Entry.StoreEra != 0)
    Document["store_era"] = Entry.StoreEra;
  return Document.dump();
}

absl::StatusOr<NodeEntry> decodeNodeEntry(std::string_view Text) {
  try {
    json Document = json::parse(Text);
    NodeEntry Entry;
    Entry.Node = readNodeAddress(Document.at("node"));
    Entry.Process = readInteger<std::uint64_t>(Document.at("process"), 0);
    Entry.Place = {Document.at("failure_domain"), Document.at("region")};
    Entry.Target = targetFrom(Document.at("target"));
    Entry.Service = Document.at("service");
    Entry.State = static_cast<TargetState>(readInteger(
        Document.at("state"), 0, static_cast<int>(TargetState::Evacuated)));
    Entry.Slots = readInteger(Document.at("slots"), 0U, MaxSlots);
    // Entries of earlier releases do not have this field.
    if (Document.contains("link_bytes_per_second"))
      Entry.LinkBytesPerSecond = readInteger<std::uint64_t>(
          Document.at("link_bytes_per_second"), 0, MaxLinkBytesPerSecond);
    Entry.Sequence = readInteger<std::uint64_t>(Document.at("sequence"), 0);
    Entry.Ended = targetFrom(Document.at("ended"));
    if (Document.contains("store_era"))
      Entry.StoreEra = readInteger<std::int64_t>(Document.at("store_era"), 0);
    return Entry;
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kInvalidArgument, "read node entry", "",
                     Error.what());
  }
}

} // namespace orioledoor::sidecar
