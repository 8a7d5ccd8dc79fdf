// Applies a change at most once. A write is sent again only after a status
// that proves that it was not applied; one without an answer is looked for by
// its apply id.
#include "orioledoor/oriolectl/catalogue_apply.h"

#include <algorithm>
#include <optional>
#include <ranges>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "orioledoor/base/error.h"
#include "orioledoor/base/ids.h"
#include "orioledoor/catalogue/audit_record.h"
#include "orioledoor/catalogue/parse_catalogue.h"
#include "orioledoor/oriolectl/catalogue_store.h"
#include "orioledoor/oriolectl/store_session.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ctl {
namespace {

constexpr char Step[] = "apply catalogue";
// The audit record keeps so many changes in full.
constexpr std::size_t AuditedChanges = 50;

absl::Status error(absl::StatusCode Code, const StoreSession &Store,
                   std::string_view Message) {
  return makeError(Code, Step, "store " + Store.peer(), Message);
}

absl::Status conflict(const StoreSession &Store, const ApplyRequest &Request,
                      const PublishedCatalogue &Current) {
  std::string Reason =
      Current.Revision != Request.Base
          ? absl::StrCat("the base is revision ", Request.Base,
                         ", but the current one is revision ", Current.Revision)
          : absl::StrCat("the history already holds revision ",
                         Request.Base + 1, ", although the current one is ",
                         "revision ", Current.Revision);
  return error(absl::StatusCode::kAborted, Store,
               absl::StrCat("nothing applied: ", Reason));
}

std::string describe(const ApplyRequest &Request,
                     const std::vector<CatalogueChange> &Changes) {
  if (Request.Base == 0)
    return "first catalogue";
  if (Changes.empty())
    return "layout or comments only";
  std::string Text =
      absl::StrJoin(Changes | std::views::take(AuditedChanges), "; ",
                    [](std::string *Out, const CatalogueChange &Change) {
                      Out->append(Change.describe());
                    });
  if (Changes.size() > AuditedChanges)
    absl::StrAppend(&Text, "; and ", Changes.size() - AuditedChanges, " more");
  return Text;
}

// A service that was removed from the catalogue and returns must have the
// slices that the assignment still holds.
absl::Status checkAssignment(StoreSession &Store, const Catalogue &New) {
  auto Entry = Store.readKey(keys::Assignment);
  if (!Entry.ok())
    return Entry.status();
  if (!*Entry)
    return absl::OkStatus();
  auto Recorded = ownership::decodeAssignment((*Entry)->Value);
  if (!Recorded.ok())
    return Recorded.status();
  auto Differs = [&](const ServiceEntry &Service) {
    const ownership::ServiceSlices *Known = Recorded->find(Service.Id);
    return Known && Known->Slices.size() != Service.Slices;
  };
  auto Found = std::ranges::find_if(New.Services, Differs);
  if (Found == New.Services.end())
    return absl::OkStatus();
  return error(absl::StatusCode::kFailedPrecondition, Store,
               absl::StrCat("services.", Found->Name, ".slices is ",
                            Found->Slices, "; expected ",
                            Recorded->find(Found->Id)->Slices.size(),
                            " as recorded in the assignment"));
}

StoreTxn makeTransaction(const ApplyRequest &Request,
                         const CurrentCatalogue &Current,
                         const std::vector<CatalogueChange> &Changes) {
  PublishedCatalogue New{.Revision = Request.Base + 1,
                         .ApplyId = Request.ApplyId,
                         .Author = Request.Author,
                         .TimeMicros = Request.TimeMicros,
                         .Comment = Request.Comment,
                         .Text = Request.Text};
  AuditRecord Record{
      .TimeMicros = Request.TimeMicros,
      .Actor = Request.Author,
      .Action = Step,
      .Subject = "catalogue",
      .From = Request.Base == 0 ? "none" : revisionName(Request.Base),
      .To = absl::StrCat(revisionName(New.Revision), " (",
                         describe(Request, Changes), ")"),
      .Reason = Request.Comment,
      .Outcome = absl::StrCat("applied, apply id ", Request.ApplyId)};
  std::string Value = encodePublishedCatalogue(New);
  std::string History = historyKey(New.Revision);
  // The history key must be absent, so that no revision is ever overwritten.
  return {
      .Compares = {{keys::CatalogueCurrent, Current.ModRevision}, {History, 0}},
      .Puts = {
          {.Key = keys::CatalogueCurrent, .Value = Value},
          {.Key = History, .Value = Value},
          {.Key = auditKey(Request.TimeMicros, stableHash(Request.ApplyId)),
           .Value = encodeAuditRecord(Record)}}};
}

// What the store shows about a write: OK if it was applied, kAborted if it was
// not and never will be, kUnknown while it may still take effect, kUnavailable
// if the store does not answer.
absl::Status findWrite(StoreSession &Store, const ApplyRequest &Request,
                       const CurrentCatalogue &Base) {
  // Read before the history: a write between the two reads is then seen as
  // this request's own and not as a conflict.
  auto Current = readCurrent(Store);
  if (!Current.ok())
    return Current.status();
  auto Written = findRevision(Store, Request.Base + 1);
  if (!Written.ok())
    return Written.status();
  if (*Written && (*Written)->ApplyId == Request.ApplyId)
    return absl::OkStatus();
  if (*Written || Current->ModRevision != Base.ModRevision)
    return conflict(Store, Request, Current->Published);
  return error(absl::StatusCode::kUnknown, Store,
               "the current revision is still the base");
}

// Looks for the write until its fate is certain or the time is over.
absl::Status awaitWrite(StoreSession &Store, const ApplyRequest &Request,
                        const CurrentCatalogue &Base,
                        const ApplyLimits &Limits) {
  Instant End = readClock() + Limits.ReadBack;
  absl::Status Found = findWrite(Store, Request, Base);
  while (!Found.ok() && Found.code() != absl::StatusCode::kAborted &&
         readClock() < End) {
    Store.pause(Limits.Pause);
    Found = findWrite(Store, Request, Base);
  }
  if (Found.ok() || Found.code() == absl::StatusCode::kAborted)
    return Found;
  return error(absl::StatusCode::kUnknown, Store,
               absl::StrCat("no answer to the write; it may still take effect "
                            "under apply id ",
                            Request.ApplyId,
                            "; last look at the store: ", Found.message()));
}

absl::Status write(StoreSession &Store, const ApplyRequest &Request,
                   const CurrentCatalogue &Base, const StoreTxn &Txn,
                   const ApplyLimits &Limits) {
  Instant End = readClock() + Limits.Retry;
  while (true) {
    StoreReply Reply = Store.call(Txn);
    if (Reply.Status.ok() && Reply.Succeeded)
      return absl::OkStatus();
    if (Reply.Status.ok())
      return awaitWrite(Store, Request, Base, Limits);
    switch (Reply.Status.code()) {
    case absl::StatusCode::kUnknown:
    case absl::StatusCode::kDeadlineExceeded:
      return awaitWrite(Store, Request, Base, Limits);
    case absl::StatusCode::kUnavailable:
      if (readClock() + Limits.Pause >= End)
        return error(absl::StatusCode::kUnavailable, Store,
                     absl::StrCat("nothing applied: ", Reply.Status.message()));
      Store.pause(Limits.Pause);
      break;
    default:
      return error(absl::StatusCode::kInvalidArgument, Store,
                   absl::StrCat("nothing applied, the store refused the "
                                "write: ",
                                Reply.Status.message()));
    }
  }
}

} // namespace

absl::StatusOr<ApplyResult> applyCatalogue(StoreSession &Store,
                                           const ApplyRequest &Request,
                                           const ApplyLimits &Limits) {
  auto New = parseCatalogue(Request.Text, Request.FileName);
  if (!New.ok())
    return New.status();
  auto Current = readCurrent(Store);
  if (!Current.ok())
    return Current.status();
  if (Current->Published.Revision != Request.Base)
    return conflict(Store, Request, Current->Published);
  auto Old = parsePublished(Current->Published);
  if (!Old.ok())
    return Old.status();
  if (Request.Base != 0) {
    if (Current->Published.Text == Request.Text)
      return ApplyResult{.Revision = Request.Base, .Changes = {}};
    absl::Status Allowed = checkReplacement(*Old, *New);
    if (!Allowed.ok())
      return Allowed;
  }
  absl::Status Allowed = checkAssignment(Store, *New);
  if (!Allowed.ok())
    return Allowed;
  ApplyResult Result{.Revision = Request.Base + 1, .Changes = {}};
  if (Request.Base != 0)
    Result.Changes = diffCatalogues(*Old, *New);
  absl::Status Written =
      write(Store, Request, *Current,
            makeTransaction(Request, *Current, Result.Changes), Limits);
  if (!Written.ok())
    return Written;
  return Result;
}

} // namespace orioledoor::ctl
