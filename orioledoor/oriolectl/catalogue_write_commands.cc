// The commands that change the catalogue: apply and rollback.
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

// Revisions whose authors a conflict names.
constexpr std::int64_t ShownRevisions = 10;

std::string makeApplyId() {
  std::random_device Source;
  return absl::StrFormat("%08x%08x%08x%08x", Source(), Source(), Source(),
                         Source());
}

// Prints who changed what since the base. Best effort: a fault here does not
// hide the conflict itself.
void explainConflict(const Invocation &Call, StoreSession &Store,
                     std::uint64_t Base) {
  auto Current = readCurrent(Store);
  if (!Current.ok())
    return;
  std::ostream &Err = Call.Terminal.Err;
  if (Base > Current->Published.Revision) {
    Err << "revision " << Base << " does not exist yet\n";
    return;
  }
  auto Revisions = readHistory(Store, ShownRevisions);
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
  auto Changes = diffPublished(*Earlier, Current->Published);
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
  if (Call.Terminal.Json) {
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
    ExitStatus Failed = Call.Terminal.fail(Result.status());
    if (Failed == ExitStatus::Conflict)
      explainConflict(Call, Store, Request.Base);
    if (Failed == ExitStatus::OutcomeUnknown)
      Call.Terminal.Err << "look for the apply id in `oriolectl catalogue "
                           "history`, or repeat the command: the base keeps "
                           "it from being applied twice\n";
    return Failed;
  }
  printResult(Call, Request, *Result);
  if (!Call.has("wait"))
    return ExitStatus::Success;
  absl::Status Waited =
      waitForRevision(Call.Loop, {.Store = &Store, .Nodes = {}},
                      Result->Revision, waitTimeout(Call), Call.Terminal.Err);
  return Waited.ok() ? ExitStatus::Success : Call.Terminal.fail(Waited);
}

ExitStatus apply(const Invocation &Call) {
  std::uint64_t Base = Call.requireNumber("base");
  StoreSession Store(Call.Loop, Call.store());
  std::string Author = Call.author();
  auto Text = readFile(Call.Arguments[0]);
  if (!Text.ok())
    return Call.Terminal.fail(Text.status());
  return applyAndReport(Call, Store,
                        {.Text = std::move(*Text),
                         .FileName = Call.Arguments[0],
                         .Base = Base,
                         .Author = std::move(Author),
                         .Comment = Call.text("comment"),
                         .ApplyId = makeApplyId(),
                         .TimeMicros = readWallMicros()});
}

ExitStatus rollback(const Invocation &Call) {
  std::uint64_t To = Call.requireNumber("to");
  std::uint64_t Base = Call.requireNumber("base");
  StoreSession Store(Call.Loop, Call.store());
  std::string Author = Call.author();
  auto Earlier = readRevision(Store, To);
  if (!Earlier.ok())
    return Call.Terminal.fail(Earlier.status());
  std::string Comment = absl::StrCat("rollback to ", revisionName(To));
  if (Call.has("comment"))
    absl::StrAppend(&Comment, ": ", Call.text("comment"));
  return applyAndReport(Call, Store,
                        {.Text = std::move(Earlier->Text),
                         .FileName = revisionName(To),
                         .Base = Base,
                         .Author = std::move(Author),
                         .Comment = std::move(Comment),
                         .ApplyId = makeApplyId(),
                         .TimeMicros = readWallMicros()});
}

void addApply(po::options_description &Options) {
  Options.add_options()("base", po::value<std::string>()->value_name("N"),
                        "the revision that the change was made from; 0 for "
                        "the first catalogue")(
      "comment", po::value<std::string>()->value_name("TEXT"),
      "why the change is made; kept in the history and the audit record")(
      "wait", "waits until every member has the revision in force");
  addWaitTimeout(Options);
}

void addRollback(po::options_description &Options) {
  Options.add_options()("to", po::value<std::string>()->value_name("N"),
                        "the earlier revision whose text is applied again");
  addApply(Options);
}

constexpr Command Commands[] = {
    {"catalogue apply", "FILE", "makes a file the current catalogue", addApply,
     apply},
    {"catalogue rollback", "", "applies the text of an earlier revision again",
     addRollback, rollback},
};

} // namespace

std::span<const Command> catalogueWriteCommands() { return Commands; }

} // namespace orioledoor::ctl
