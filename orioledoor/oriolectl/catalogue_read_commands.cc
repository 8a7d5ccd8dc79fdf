// The commands that read catalogues: validate, diff, show and history.
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

constexpr std::uint64_t DefaultHistory = 50;
// The store answers with whole catalogues, up to 256 KiB each.
constexpr std::uint64_t MaxHistory = 1000;

json headOf(const PublishedCatalogue &Value) {
  return {{"revision", Value.Revision},
          {"time", formatTime(Value.TimeMicros)},
          {"author", Value.Author},
          {"comment", Value.Comment},
          {"apply_id", Value.ApplyId}};
}

ExitStatus validate(const Invocation &Call) {
  auto Text = readFile(Call.Arguments[0]);
  if (!Text.ok())
    return Call.Terminal.fail(Text.status());
  auto Parsed = parseCatalogue(*Text, Call.Arguments[0]);
  if (!Parsed.ok())
    return Call.Terminal.fail(Parsed.status());
  if (Call.Terminal.Json)
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

ExitStatus diff(const Invocation &Call) {
  StoreSession Store(Call.Loop, Call.store());
  auto Text = readFile(Call.Arguments[0]);
  if (!Text.ok())
    return Call.Terminal.fail(Text.status());
  auto New = parseCatalogue(*Text, Call.Arguments[0]);
  if (!New.ok())
    return Call.Terminal.fail(New.status());
  auto Current = readCurrent(Store);
  if (!Current.ok())
    return Call.Terminal.fail(Current.status());
  auto Old = parsePublished(Current->Published);
  if (!Old.ok())
    return Call.Terminal.fail(Old.status());
  std::vector<CatalogueChange> Changes;
  if (Current->Published.Revision != 0)
    Changes = diffCatalogues(*Old, *New);
  if (Call.Terminal.Json) {
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

ExitStatus show(const Invocation &Call) {
  StoreSession Store(Call.Loop, Call.store());
  PublishedCatalogue Value;
  if (auto Revision = Call.number("revision")) {
    auto Found = readRevision(Store, *Revision);
    if (!Found.ok())
      return Call.Terminal.fail(Found.status());
    Value = std::move(*Found);
  } else {
    auto Current = readCurrent(Store);
    if (!Current.ok())
      return Call.Terminal.fail(Current.status());
    if (Current->Published.Revision == 0)
      return Call.Terminal.fail(absl::NotFoundError(
          "the store holds no catalogue; the first one is applied with "
          "--base 0"));
    Value = std::move(Current->Published);
  }
  json Head = headOf(Value);
  if (Call.Terminal.Json) {
    Head["text"] = Value.Text;
    printJson(Call.Terminal, Head);
    return ExitStatus::Success;
  }
  // The head goes to the error stream, so that the output is the file as it
  // was applied.
  Call.Terminal.Err << "# revision " << Value.Revision << ", "
                    << formatTime(Value.TimeMicros) << ", " << Value.Author
                    << '\n';
  Call.Terminal.Out << Value.Text;
  return ExitStatus::Success;
}

ExitStatus history(const Invocation &Call) {
  StoreSession Store(Call.Loop, Call.store());
  std::uint64_t Limit = Call.number("limit").value_or(DefaultHistory);
  if (Limit == 0 || Limit > MaxHistory)
    throw UsageError(
        absl::StrCat("--limit is ", Limit, "; expected 1 to ", MaxHistory));
  auto Revisions = readHistory(Store, static_cast<std::int64_t>(Limit));
  if (!Revisions.ok())
    return Call.Terminal.fail(Revisions.status());
  json Records = json::array();
  for (const PublishedCatalogue &Value : *Revisions)
    Records.push_back(headOf(Value));
  printRecords(Call.Terminal,
               {{"revision", "REVISION"},
                {"time", "TIME"},
                {"author", "AUTHOR"},
                {"apply_id", "APPLY ID"},
                {"comment", "COMMENT"}},
               Records);
  return ExitStatus::Success;
}

void addRevision(po::options_description &Options) {
  Options.add_options()("revision", po::value<std::string>()->value_name("N"),
                        "an earlier revision instead of the current one");
}

void addLimit(po::options_description &Options) {
  Options.add_options()("limit", po::value<std::string>()->value_name("N"),
                        "the latest N revisions; default 50, at most 1000");
}

constexpr Command Commands[] = {
    {"catalogue validate", "FILE", "checks a catalogue file", nullptr,
     validate},
    {"catalogue diff", "FILE", "compares a file with the current catalogue",
     nullptr, diff},
    {"catalogue show", "", "prints the current catalogue", addRevision, show},
    {"catalogue history", "", "lists the revisions, latest first", addLimit,
     history},
};

} // namespace

std::span<const Command> catalogueReadCommands() { return Commands; }

} // namespace orioledoor::ctl
