// Parses catalogues from YAML and checks the constraints between fields and
// entries.
#include "orioledoor/catalogue/parse_catalogue.h"

#include <algorithm>
#include <array>
#include <bit>
#include <chrono>
#include <string>

#include "absl/strings/str_cat.h"
#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/catalogue/internal/yaml_reader.h"

namespace orioledoor {
namespace {

using internal::YamlMapping;
using internal::YamlValue;

// The store accepts values of up to 1 MB. The assignment document takes about
// 400 KB with this number of slices.
constexpr std::uint64_t MaxSlices = 65'536;
// A node holds the whole body in memory while it handles a request.
constexpr std::uint64_t MaxBodyBytesLimit = 64ULL << 20;
// Nodes remember operations for 10 minutes. A request with a longer timeout
// could outlive its record and run twice.
constexpr std::chrono::milliseconds MaxTimeoutLimit = std::chrono::minutes(10);
constexpr double MaxRequestsPerSecond = 1e9;

ServiceLimits readLimits(const YamlValue &Value) {
  YamlMapping Fields(Value, {"requests_per_second", "max_body", "max_timeout",
                             "spend_per_day", "retry_ratio", "max_tries"});
  ServiceLimits Limits;
  if (auto Rate = Fields.find("requests_per_second")) {
    Limits.RequestsPerSecond =
        internal::readNumber(*Rate, 0, MaxRequestsPerSecond);
    if (Limits.RequestsPerSecond == 0)
      Rate->fail("found 0", "a number above 0; omit the field for no limit");
  }
  if (auto Body = Fields.find("max_body"))
    Limits.MaxBodyBytes = internal::readSize(*Body, MaxBodyBytesLimit);
  if (auto Timeout = Fields.find("max_timeout"))
    Limits.MaxTimeout = internal::readDuration(*Timeout, MaxTimeoutLimit);
  if (auto Spend = Fields.find("spend_per_day")) {
    Limits.SpendPerDay = internal::readInteger(*Spend, 0, 1'000'000'000'000);
    if (Limits.SpendPerDay == 0)
      Spend->fail("found 0", "a number above 0; omit the field for no limit");
  }
  auto Ratio = Fields.find("retry_ratio");
  auto Tries = Fields.find("max_tries");
  if (Ratio)
    Limits.RetryRatio = internal::readNumber(*Ratio, 0, 1);
  if (Tries)
    Limits.MaxTries =
        static_cast<std::uint32_t>(internal::readInteger(*Tries, 1, 10));
  if (Ratio && Tries && (Limits.RetryRatio == 0) != (Limits.MaxTries == 1))
    Tries->fail(absl::StrCat("contradicts retry_ratio ", Limits.RetryRatio,
                             " with max_tries ", Limits.MaxTries),
                "retry_ratio 0 together with max_tries 1, or neither");
  return Limits;
}

std::vector<std::string> readMethods(const YamlValue &Value) {
  constexpr std::array Names{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
  std::vector<std::string> Parsed;
  for (const YamlValue &Item : internal::readList(Value)) {
    std::string Method = Names.at(internal::readChoice(
        Item, {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}));
    if (std::ranges::find(Parsed, Method) != Parsed.end())
      Item.fail(absl::StrCat("duplicate method \"", Method, "\""),
                "each method once");
    Parsed.push_back(Method);
  }
  std::vector<std::string> Methods{"GET", "HEAD"};
  std::ranges::copy_if(Parsed, std::back_inserter(Methods),
                       [](const std::string &Method) {
                         return Method != "GET" && Method != "HEAD";
                       });
  return Methods;
}

ServiceEntry readService(const YamlValue &Value) {
  YamlMapping Fields(Value, {"name", "owner", "class", "divided_by_key",
                             "slices", "limits", "idempotent_methods"});
  ServiceEntry Entry;
  YamlValue Name = Fields.require("name");
  Entry.Name = internal::readName(Name);
  // Nodes serve the pages for operators under /oriole/.
  if (Entry.Name == "oriole")
    Name.fail("the name \"oriole\" is reserved", "another name");
  Entry.Id = serviceIdOf(Entry.Name);
  Entry.Owner = internal::readText(Fields.require("owner"));
  Entry.Class = static_cast<ServiceClass>(internal::readChoice(
      Fields.require("class"), {"critical", "standard", "batch"}));
  Entry.DividedByKey = internal::readBool(Fields.require("divided_by_key"));
  if (auto Slices = Fields.find("slices")) {
    std::uint64_t Count = internal::readInteger(*Slices, 1, MaxSlices);
    if (!std::has_single_bit(Count))
      Slices->fail(absl::StrCat("found ", Count),
                   absl::StrCat("a power of two from 1 to ", MaxSlices));
    Entry.Slices = static_cast<std::uint32_t>(Count);
  }
  if (auto Limits = Fields.find("limits"))
    Entry.Limits = readLimits(*Limits);
  if (auto Methods = Fields.find("idempotent_methods"))
    Entry.IdempotentMethods = readMethods(*Methods);
  return Entry;
}

std::vector<ServiceEntry> readServices(const YamlValue &Value) {
  std::vector<ServiceEntry> Services;
  std::uint64_t Slices = 0;
  for (const YamlValue &Item : internal::readList(Value)) {
    ServiceEntry Entry = readService(Item);
    if (std::ranges::find(Services, Entry.Name, &ServiceEntry::Name) !=
        Services.end())
      Item.fail(absl::StrCat("duplicate service \"", Entry.Name, "\""),
                "each service once");
    auto SameId = std::ranges::find(Services, Entry.Id, &ServiceEntry::Id);
    if (SameId != Services.end())
      Item.fail(absl::StrCat("the names \"", Entry.Name, "\" and \"",
                             SameId->Name, "\" have the same hash"),
                "a different name for one of them");
    Slices += Entry.Slices;
    if (Slices > MaxSlices)
      Item.fail(absl::StrCat("the services up to this one have ", Slices,
                             " slices together"),
                absl::StrCat("at most ", MaxSlices));
    Services.push_back(std::move(Entry));
  }
  if (Services.empty())
    Value.fail("the list is empty", "at least one service");
  return Services;
}

std::vector<RegionEntry> readRegions(const YamlValue &Value) {
  YamlMapping Names(Value, {});
  std::vector<RegionEntry> Regions;
  for (const YamlValue &Item : Names.values()) {
    std::string Name = internal::readName(Names.keys()[Regions.size()]);
    YamlMapping Fields(Item, {"state"});
    auto State = static_cast<RegionState>(
        internal::readChoice(Fields.require("state"), {"active", "lost"}));
    Regions.push_back({Name, State});
  }
  if (std::ranges::find(Regions, RegionState::Active, &RegionEntry::State) ==
      Regions.end())
    Value.fail(Regions.empty() ? "no region is listed"
                               : "every region is declared lost",
               "at least one active region");
  return Regions;
}

PlacementWeights readWeights(const YamlValue &Value) {
  constexpr double MaxWeight = 1e6;
  YamlMapping Fields(Value, {"imbalance", "churn", "unavailable"});
  auto Read = [&](std::string_view Name) {
    return internal::readNumber(Fields.require(Name), 0, MaxWeight);
  };
  PlacementWeights Weights{Read("imbalance"), Read("churn"),
                           Read("unavailable")};
  if (Weights.Imbalance + Weights.Churn + Weights.Unavailable == 0)
    Value.fail("all weights are 0", "at least one weight above 0");
  return Weights;
}

Catalogue readCatalogue(const YamlValue &Document) {
  YamlMapping Root(Document, {"deployment", "services", "regions", "weights"});
  Catalogue Result;
  Result.Deployment = internal::readName(Root.require("deployment"));
  Result.Services = readServices(Root.require("services"));
  Result.Regions = readRegions(Root.require("regions"));
  Result.Weights = readWeights(Root.require("weights"));
  return Result;
}

} // namespace

absl::StatusOr<Catalogue> parseCatalogue(std::string_view Text,
                                         std::string_view FileName) {
  return internal::readDocument(Text, FileName, readCatalogue);
}

} // namespace orioledoor
