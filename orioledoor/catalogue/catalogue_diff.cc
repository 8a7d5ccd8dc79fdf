// Compares catalogues as maps from field names to formatted values.
#include "orioledoor/catalogue/catalogue_diff.h"

#include <algorithm>
#include <array>
#include <map>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/catalogue.h"

namespace orioledoor {
namespace {

constexpr std::string_view AbsentValue = "none";

using FieldMap = std::map<std::string, std::string>;

std::string_view formatValue(ServiceClass Class) {
  constexpr std::array<std::string_view, 3> Names{"critical", "standard",
                                                  "batch"};
  return Names.at(static_cast<std::size_t>(Class));
}

std::string_view formatValue(bool Value) { return Value ? "true" : "false"; }

std::string formatLimit(auto Value) {
  return Value == 0 ? std::string("unlimited") : absl::StrCat(Value);
}

// Formats Bytes in the largest unit of which it is a multiple.
std::string formatSize(std::uint64_t Bytes) {
  constexpr std::array<std::string_view, 4> Units{"B", "KiB", "MiB", "GiB"};
  std::size_t Unit = 0;
  while (Bytes != 0 && Bytes % 1024 == 0 && Unit + 1 < Units.size()) {
    Bytes /= 1024;
    ++Unit;
  }
  return absl::StrCat(Bytes, toAbsl(Units[Unit]));
}

std::string formatDuration(std::chrono::milliseconds Value) {
  if (Value.count() % 1000 != 0)
    return absl::StrCat(Value.count(), "ms");
  return absl::StrCat(Value.count() / 1000, "s");
}

void addService(FieldMap &Out, const ServiceEntry &Entry) {
  std::string Prefix = absl::StrCat("services.", Entry.Name, ".");
  auto Add = [&](std::string_view Field, std::string_view Value) {
    Out[absl::StrCat(Prefix, toAbsl(Field))] = Value;
  };
  std::vector<std::string> Methods = Entry.IdempotentMethods;
  std::ranges::sort(Methods);
  Add("owner", Entry.Owner);
  Add("class", formatValue(Entry.Class));
  Add("divided_by_key", formatValue(Entry.DividedByKey));
  Add("slices", absl::StrCat(Entry.Slices));
  Add("idempotent_methods", absl::StrJoin(Methods, " "));
  Add("limits.requests_per_second",
      formatLimit(Entry.Limits.RequestsPerSecond));
  Add("limits.max_body", formatSize(Entry.Limits.MaxBodyBytes));
  Add("limits.max_timeout", formatDuration(Entry.Limits.MaxTimeout));
  Add("limits.spend_per_day", formatLimit(Entry.Limits.SpendPerDay));
  Add("limits.retry_ratio", absl::StrCat(Entry.Limits.RetryRatio));
  Add("limits.max_tries", absl::StrCat(Entry.Limits.MaxTries));
}

FieldMap toFieldMap(const Catalogue &Value) {
  FieldMap Out;
  Out["deployment"] = Value.Deployment;
  std::ranges::for_each(Value.Services, [&](const ServiceEntry &Entry) {
    addService(Out, Entry);
  });
  for (const RegionEntry &Region : Value.Regions)
    Out[absl::StrCat("regions.", Region.Name, ".state")] =
        Region.State == RegionState::Lost ? "lost" : "active";
  Out["weights.imbalance"] = absl::StrCat(Value.Weights.Imbalance);
  Out["weights.churn"] = absl::StrCat(Value.Weights.Churn);
  Out["weights.unavailable"] = absl::StrCat(Value.Weights.Unavailable);
  return Out;
}

std::string valueOrNone(const FieldMap &In, const std::string &Field) {
  auto Found = In.find(Field);
  return Found == In.end() ? std::string(AbsentValue) : Found->second;
}

} // namespace

std::string CatalogueChange::describe() const {
  return absl::StrCat(this->Field, ": ", this->From, " -> ", this->To);
}

std::vector<CatalogueChange> diffCatalogues(const Catalogue &From,
                                            const Catalogue &To) {
  FieldMap Old = toFieldMap(From);
  FieldMap New = toFieldMap(To);
  FieldMap All = Old;
  All.insert(New.begin(), New.end());
  std::vector<CatalogueChange> Changes;
  for (const auto &[Field, Unused] : All) {
    CatalogueChange Change{Field, valueOrNone(Old, Field),
                           valueOrNone(New, Field)};
    if (Change.From != Change.To)
      Changes.push_back(std::move(Change));
  }
  return Changes;
}

absl::Status checkReplacement(const Catalogue &From, const Catalogue &To) {
  auto Reject = [](const std::string &Message) {
    return makeError(absl::StatusCode::kFailedPrecondition, "check catalogue",
                     "", Message);
  };
  if (From.Deployment != To.Deployment)
    return Reject(absl::StrCat("deployment is \"", To.Deployment,
                               "\"; expected \"", From.Deployment,
                               "\", which the store belongs to"));
  for (const ServiceEntry &Entry : To.Services) {
    const ServiceEntry *Old = From.find(Entry.Name);
    if (Old && Old->Slices != Entry.Slices)
      return Reject(absl::StrCat("services.", Entry.Name, ".slices is ",
                                 Entry.Slices, "; expected ", Old->Slices,
                                 ", the slices of a service that exists "
                                 "cannot change"));
  }
  return absl::OkStatus();
}

} // namespace orioledoor
