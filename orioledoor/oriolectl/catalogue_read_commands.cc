// Implements the commands that read catalogues: validate, diff, show and
// history.
#include <iostream>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "orioledoor/catalogue/parse_catalogue.h"
#include "orioledoor/oriolectl/catalogue_store.h"
#include "orioledoor/oriolectl/catalogue_text.h"
#include "orioledoor/oriolectl/commands.h"
#include "orioledoor/oriolectl/store_session.h"

namespace orioledoor::ctl {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

constexpr std::uint64_t DefaultHistoryLimit = 50;
// Bounds the size of the response: the store returns whole catalogues of up to
// 256 KiB each.
constexpr std::uint64_t MaxHistoryLimit = 1000;

json revisionMetadata(const PublishedCatalogue &Value) {
  return {{"revision", Value.Revision},
          {"time", formatTime(Value.TimeMicros)},
          {"author", Value.Author},
          {"comment", Value.Comment},
          {"apply_id", Value.ApplyId}};
}

ExitStatus runValidate(const Invocation &Call) {
  auto Text = readFile(Call.Arguments[0]);
  if (!Text.ok())
    return Call.Terminal.reportError(Text.status());
  auto Parsed = parseCatalogue(*Text, Call.Arguments[0]);
  if (!Parsed.ok())
    return Call.Terminal.reportError(Parsed.status());
  if (Call.Terminal.JsonOutput)
    printJson(Call.Terminal, {{"file", Call.Arguments[0]},
                              {"deployment", Parsed->Deployment},
                              {"services", Parsed->Services.size()},
                              {"valid", true}});
  else
    Call.Terminal.Out << Call.Arguments[0] << ": valid, deployment "
                      << Parsed->Deployment << ", " << Parsed->Services.size()
                      << " services\n";
  return ExitStatus::Success;
}

ExitStatus runDiff(const Invocation &Call) {
  StoreSession Store(Call.Loop, Call.storeAddress());
  auto Text = readFile(Call.Arguments[0]);
  if (!Text.ok())
    return Call.Terminal.reportError(Text.status());
  auto New = parseCatalogue(*Text, Call.Arguments[0]);
  if (!New.ok())
    return Call.Terminal.reportError(New.status());
  auto Current = readCurrentCatalogue(Store);
  if (!Current.ok())
    return Call.Terminal.reportError(Current.status());
  auto Old = parsePublishedCatalogue(Current->Published);
  if (!Old.ok())
    return Call.Terminal.reportError(Old.status());
  std::vector<CatalogueChange> Changes;
  if (Current->Published.Revision != 0)
    Changes = diffCatalogues(*Old, *New);
  if (Call.Terminal.JsonOutput) {
    printJson(Call.Terminal, {{"base", Current->Published.Revision},
                              {"changes", changesJson(Changes)}});
    return ExitStatus::Success;
  }
  if (Current->Published.Revision == 0) {
    Call.Terminal.Out << "the store holds no catalogue yet\n";
    return ExitStatus::Success;
  }
  Call.Terminal.Out << Changes.size() << " changes from revision "
                    << Current->Published.Revision << '\n';
  printChanges(Call.Terminal.Out, Changes);
  return ExitStatus::Success;
}

ExitStatus runShow(const Invocation &Call) {
  StoreSession Store(Call.Loop, Call.storeAddress());
  PublishedCatalogue Value;
  if (auto Revision = Call.optionNumber("revision")) {
    auto Found = readRevision(Store, *Revision);
    if (!Found.ok())
      return Call.Terminal.reportError(Found.status());
    Value = std::move(*Found);
  } else {
    auto Current = readCurrentCatalogue(Store);
    if (!Current.ok())
      return Call.Terminal.reportError(Current.status());
    if (Current->Published.Revision == 0)
      return Call.Terminal.reportError(absl::NotFoundError(
          "the store holds no catalogue; the first one is applied with "
          "--base 0"));
    Value = std::move(Current->Published);
  }
  json Metadata = revisionMetadata(Value);
  if (Call.Terminal.JsonOutput) {
    Metadata["text"] = Value.Text;
    printJson(Call.Terminal, Metadata);
    return ExitStatus::Success;
  }
  // The metadata goes to the error stream, so that the output is the catalogue
  // file exactly as it was applied.
  Call.Terminal.Err << "# revision " << Value.Revision << ", "
                    << formatTime(Value.TimeMicros) << ", " << Value.Author
                    << '\n';
  Call.Terminal.Out << Value.Text;
  return ExitStatus::Success;
}

ExitStatus runHistory(const Invocation &Call) {
  StoreSession Store(Call.Loop, Call.storeAddress());
  std::uint64_t Limit =
      Call.optionNumber("limit").value_or(DefaultHistoryLimit);
  if (Limit == 0 || Limit > MaxHistoryLimit)
    throw UsageError(absl::StrCat("--limit is ", Limit, "; expected 1 to ",
                                  MaxHistoryLimit));
  auto Revisions = readHistory(Store, static_cast<std::int64_t>(Limit));
  if (!Revisions.ok())
    return Call.Terminal.reportError(Revisions.status());
  json Records = json::array();
  for (const PublishedCatalogue &Value : *Revisions)
    Records.push_back(revisionMetadata(Value));
  printRecords(Call.Terminal,
               {{"revision", "REVISION"},
                {"time", "TIME"},
                {"author", "AUTHOR"},
                {"apply_id", "APPLY ID"},
                {"comment", "COMMENT"}},
               Records);
  return ExitStatus::Success;
}

void addRevisionOption(po::options_description &Options) {
  Options.add_options()("revision", po::value<std::string>()->value_name("N"),
                        "an earlier revision instead of the current one");
}

void addLimitOption(po::options_description &Options) {
  Options.add_options()("limit", po::value<std::string>()->value_name("N"),
                        "the latest N revisions; default 50, at most 1000");
}

constexpr Command Commands[] = {
    {"catalogue validate", "FILE", "checks a catalogue file", nullptr,
     runValidate},
    {"catalogue diff", "FILE", "compares a file with the current catalogue",
     nullptr, runDiff},
    {"catalogue show", "", "prints the current catalogue", addRevisionOption,
     runShow},
    {"catalogue history", "", "lists the revisions, latest first",
     addLimitOption, runHistory},
};

} // namespace

std::span<const Command> catalogueReadCommands() { return Commands; }

} // namespace orioledoor::ctl
