// Implements the commands that change the catalogue: apply and rollback.
#include <iostream>
#include <random>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "orioledoor/base/error.h"
#include "orioledoor/base/wall_clock.h"
#include "orioledoor/oriolectl/catalogue_apply.h"
#include "orioledoor/oriolectl/catalogue_store.h"
#include "orioledoor/oriolectl/catalogue_text.h"
#include "orioledoor/oriolectl/commands.h"
#include "orioledoor/oriolectl/node_wait.h"
#include "orioledoor/oriolectl/store_session.h"

namespace orioledoor::ctl {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

// The number of latest revisions that are searched for conflicting changes.
constexpr std::int64_t MaxConflictRevisions = 10;

std::string makeApplyId() {
  std::random_device Source;
  return absl::StrFormat("%08x%08x%08x%08x", Source(), Source(), Source(),
                         Source());
}

// Prints the revisions and changes since the base. Best effort: an error here
// returns silently, since the conflict itself has been reported.
void printConflict(const Invocation &Call, StoreSession &Store,
                   std::uint64_t Base) {
  auto Current = readCurrentCatalogue(Store);
  if (!Current.ok())
    return;
  std::ostream &Err = Call.Terminal.Err;
  if (Base > Current->Published.Revision) {
    Err << "revision " << Base << " does not exist yet\n";
    return;
  }
  auto Revisions = readHistory(Store, MaxConflictRevisions);
  if (!Revisions.ok())
    return;
  for (const PublishedCatalogue &Value : *Revisions)
    if (Value.Revision > Base)
      Err << "revision " << Value.Revision << " by " << Value.Author << ", "
          << formatTime(Value.TimeMicros) << ", apply id " << Value.ApplyId
          << (Value.Comment.empty() ? "" : ": ") << Value.Comment << '\n';
  auto Earlier = Base == 0 ? PublishedCatalogue() : readRevision(Store, Base);
  if (!Earlier.ok())
    return;
  auto Changes = diffPublishedCatalogues(*Earlier, Current->Published);
  if (!Changes.ok())
    return;
  Err << "changed since revision " << Base << ":\n";
  printChanges(Err, *Changes);
  Err << "edit the current catalogue and apply it with --base "
      << Current->Published.Revision << '\n';
}

void printResult(const Invocation &Call, const ApplyRequest &Request,
                 const ApplyResult &Result) {
  bool Unchanged = Result.Revision == Request.Base;
  if (Call.Terminal.JsonOutput) {
    printJson(Call.Terminal, {{"revision", Result.Revision},
                              {"applied", !Unchanged},
                              {"apply_id", Request.ApplyId},
                              {"changes", changesJson(Result.Changes)}});
    return;
  }
  if (Unchanged)
    Call.Terminal.Out << "revision " << Result.Revision
                      << " has the same text; nothing applied\n";
  else if (Request.Base == 0)
    Call.Terminal.Out << "applied as revision " << Result.Revision
                      << ", the first catalogue\n";
  else
    Call.Terminal.Out << "applied as revision " << Result.Revision << ", "
                      << Result.Changes.size() << " changes\n";
  printChanges(Call.Terminal.Out, Result.Changes);
}

ExitStatus applyAndReport(const Invocation &Call, StoreSession &Store,
                          const ApplyRequest &Request) {
  auto Result = applyCatalogue(Store, Request);
  if (!Result.ok()) {
    ExitStatus Failed = Call.Terminal.reportError(Result.status());
    if (Failed == ExitStatus::Conflict)
      printConflict(Call, Store, Request.Base);
    if (Failed == ExitStatus::OutcomeUnknown)
      Call.Terminal.Err << "look for the apply id in `oriolectl catalogue "
                           "history`, or repeat the command: the base keeps "
                           "it from being applied twice\n";
    return Failed;
  }
  printResult(Call, Request, *Result);
  if (!Call.hasOption("wait"))
    return ExitStatus::Success;
  absl::Status WaitStatus = waitForRevision(
      Call.Loop, {.Store = &Store, .Nodes = {}}, Result->Revision,
      parseWaitTimeout(Call), Call.Terminal.Err);
  return WaitStatus.ok() ? ExitStatus::Success
                         : Call.Terminal.reportError(WaitStatus);
}

ExitStatus runApply(const Invocation &Call) {
  std::uint64_t Base = Call.requireNumber("base");
  StoreSession Store(Call.Loop, Call.storeAddress());
  std::string Author = Call.author();
  auto Text = readFile(Call.Arguments[0]);
  if (!Text.ok())
    return Call.Terminal.reportError(Text.status());
  return applyAndReport(Call, Store,
                        {.Text = std::move(*Text),
                         .FileName = Call.Arguments[0],
                         .Base = Base,
                         .Author = std::move(Author),
                         .Comment = Call.optionText("comment"),
                         .ApplyId = makeApplyId(),
                         .TimeMicros = readWallMicros()});
}

ExitStatus runRollback(const Invocation &Call) {
  std::uint64_t RollbackRevision = Call.requireNumber("to");
  std::uint64_t Base = Call.requireNumber("base");
  StoreSession Store(Call.Loop, Call.storeAddress());
  std::string Author = Call.author();
  auto Earlier = readRevision(Store, RollbackRevision);
  if (!Earlier.ok())
    return Call.Terminal.reportError(Earlier.status());
  std::string Comment =
      absl::StrCat("rollback to ", revisionLabel(RollbackRevision));
  if (Call.hasOption("comment"))
    absl::StrAppend(&Comment, ": ", Call.optionText("comment"));
  return applyAndReport(Call, Store,
                        {.Text = std::move(Earlier->Text),
                         .FileName = revisionLabel(RollbackRevision),
                         .Base = Base,
                         .Author = std::move(Author),
                         .Comment = std::move(Comment),
                         .ApplyId = makeApplyId(),
                         .TimeMicros = readWallMicros()});
}

void addApplyOptions(po::options_description &Options) {
  Options.add_options()("base", po::value<std::string>()->value_name("N"),
                        "the revision that the change was made from; 0 for "
                        "the first catalogue")(
      "comment", po::value<std::string>()->value_name("TEXT"),
      "why the change is made; kept in the history and the audit record")(
      "wait", "waits until every member has the revision in force");
  addWaitTimeoutOption(Options);
}

void addRollbackOptions(po::options_description &Options) {
  Options.add_options()("to", po::value<std::string>()->value_name("N"),
                        "the earlier revision whose text is applied again");
  addApplyOptions(Options);
}

constexpr Command Commands[] = {
    {"catalogue apply", "FILE", "makes a file the current catalogue",
     addApplyOptions, runApply},
    {"catalogue rollback", "", "applies the text of an earlier revision again",
     addRollbackOptions, runRollback},
};

} // namespace

std::span<const Command> catalogueWriteCommands() { return Commands; }

} // namespace orioledoor::ctl
