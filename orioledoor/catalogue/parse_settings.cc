// Parses the settings of a node process from YAML.
#include <algorithm>
#include <array>
#include <string>

#include "absl/strings/str_cat.h"
#include "orioledoor/catalogue/internal/yaml_reader.h"
#include "orioledoor/catalogue/parse_catalogue.h"
#include "orioledoor/catalogue/settings.h"

namespace orioledoor {
namespace {

using internal::YamlMapping;
using internal::YamlValue;

bool isSameEndpoint(const Endpoint &A, const Endpoint &B) {
  return A.Port == B.Port && A.Host == B.Host;
}

std::vector<Endpoint> readSeeds(const YamlValue &Value) {
  std::vector<Endpoint> Seeds;
  for (const YamlValue &Item : internal::readList(Value)) {
    Endpoint Seed = internal::readEndpoint(Item);
    if (std::ranges::any_of(Seeds, [&](const Endpoint &Other) {
          return isSameEndpoint(Seed, Other);
        }))
      Item.fail(absl::StrCat("duplicate seed \"", Item.Node.Scalar(), "\""),
                "each seed once");
    Seeds.push_back(Seed);
  }
  return Seeds;
}

Settings readSettings(const YamlValue &Document) {
  YamlMapping Root(Document, {"node_name", "region", "failure_domain", "http",
                              "peer", "store", "seeds", "log_level"});
  Settings Result;
  Result.NodeName = internal::readName(Root.require("node_name"));
  Result.Region = internal::readName(Root.require("region"));
  Result.FailureDomain = internal::readName(Root.require("failure_domain"));
  Result.Http = internal::readEndpoint(Root.require("http"));
  Result.Peer = internal::readEndpoint(Root.require("peer"));
  Result.Store = internal::readEndpoint(Root.require("store"));
  if (isSameEndpoint(Result.Http, Result.Peer))
    Root.require("peer").fail("same address as \"http\"",
                              "a different port for each listener");
  if (isSameEndpoint(Result.Store, Result.Http) ||
      isSameEndpoint(Result.Store, Result.Peer))
    Root.require("store").fail("same address as a listener of this node",
                               "the address of the platform's store");
  if (auto Seeds = Root.find("seeds"))
    Result.Seeds = readSeeds(*Seeds);
  if (auto Level = Root.find("log_level")) {
    constexpr std::array Levels{"debug", "info", "warn", "error"};
    Result.LogLevel = Levels.at(
        internal::readChoice(*Level, {"debug", "info", "warn", "error"}));
  }
  return Result;
}

} // namespace

absl::StatusOr<Settings> parseSettings(std::string_view Text,
                                       std::string_view FileName) {
  return internal::readDocument(Text, FileName, readSettings);
}

} // namespace orioledoor
