// Applies a change at most once. A write is retried only after a status that
// proves that it was not applied. If the response was lost, the write is looked
// up in the store by its apply id.
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
// The number of changes that the audit record describes individually.
constexpr std::size_t MaxAuditedChanges = 50;

absl::Status storeError(absl::StatusCode Code, const StoreSession &Store,
                        std::string_view Message) {
  return makeError(Code, Step, "store " + Store.peer(), Message);
}

absl::Status conflictError(const StoreSession &Store,
                           const ApplyRequest &Request,
                           const PublishedCatalogue &Current) {
  std::string Reason =
      Current.Revision != Request.Base
          ? absl::StrCat("the base is revision ", Request.Base,
                         ", but the current one is revision ", Current.Revision)
          : absl::StrCat("the history already holds revision ",
                         Request.Base + 1, ", although the current one is ",
                         "revision ", Current.Revision);
  return storeError(absl::StatusCode::kAborted, Store,
                    absl::StrCat("nothing applied: ", Reason));
}

std::string describeChanges(const ApplyRequest &Request,
                            const std::vector<CatalogueChange> &Changes) {
  if (Request.Base == 0)
    return "first catalogue";
  if (Changes.empty())
    return "layout or comments only";
  std::string Text =
      absl::StrJoin(Changes | std::views::take(MaxAuditedChanges), "; ",
                    [](std::string *Out, const CatalogueChange &Change) {
                      Out->append(Change.describe());
                    });
  if (Changes.size() > MaxAuditedChanges)
    absl::StrAppend(&Text, "; and ", Changes.size() - MaxAuditedChanges,
                    " more");
  return Text;
}

// Checks that each service has as many slices as recorded in the assignment.
// The assignment keeps the slices of a service that was removed from the
// catalogue, so adding it again must not change their number.
absl::Status checkSliceCounts(StoreSession &Store, const Catalogue &New) {
  auto Entry = Store.readKey(keys::Assignment);
  if (!Entry.ok())
    return Entry.status();
  if (!*Entry)
    return absl::OkStatus();
  auto Recorded = ownership::decodeAssignment((*Entry)->Value);
  if (!Recorded.ok())
    return Recorded.status();
  auto HasOtherSliceCount = [&](const ServiceEntry &Service) {
    const ownership::ServiceSlices *RecordedSlices = Recorded->find(Service.Id);
    return RecordedSlices && RecordedSlices->Slices.size() != Service.Slices;
  };
  auto Found = std::ranges::find_if(New.Services, HasOtherSliceCount);
  if (Found == New.Services.end())
    return absl::OkStatus();
  return storeError(absl::StatusCode::kFailedPrecondition, Store,
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
      .From = Request.Base == 0 ? "none" : revisionLabel(Request.Base),
      .To = absl::StrCat(revisionLabel(New.Revision), " (",
                         describeChanges(Request, Changes), ")"),
      .Reason = Request.Comment,
      .Outcome = absl::StrCat("applied, apply id ", Request.ApplyId)};
  std::string Value = encodePublishedCatalogue(New);
  std::string History = historyKey(New.Revision);
  // Requires that the history key does not exist, so that no revision is ever
  // overwritten.
  return {
      .Compares = {{keys::CatalogueCurrent, Current.ModRevision}, {History, 0}},
      .Puts = {
          {.Key = keys::CatalogueCurrent, .Value = Value},
          {.Key = History, .Value = Value},
          {.Key = auditKey(Request.TimeMicros, stableHash(Request.ApplyId)),
           .Value = encodeAuditRecord(Record)}}};
}

// Determines from the store whether a write was applied. Returns OK if it was,
// kAborted if it was not and never will be, kUnknown if it may still take
// effect, and kUnavailable if the store does not respond.
absl::Status checkWriteOutcome(StoreSession &Store, const ApplyRequest &Request,
                               const CurrentCatalogue &Base) {
  // The current key must be read before the history: if this request's write
  // takes effect between the two reads, the history shows it as applied. In the
  // opposite order it would look like a conflict.
  auto Current = readCurrentCatalogue(Store);
  if (!Current.ok())
    return Current.status();
  auto HistoryEntry = findRevision(Store, Request.Base + 1);
  if (!HistoryEntry.ok())
    return HistoryEntry.status();
  if (*HistoryEntry && (*HistoryEntry)->ApplyId == Request.ApplyId)
    return absl::OkStatus();
  if (*HistoryEntry || Current->ModRevision != Base.ModRevision)
    return conflictError(Store, Request, Current->Published);
  return storeError(absl::StatusCode::kUnknown, Store,
                    "the current revision is still the base");
}

// Polls the store until the outcome of the write is certain or
// Limits.OutcomeTimeout expires.
absl::Status resolveWriteOutcome(StoreSession &Store,
                                 const ApplyRequest &Request,
                                 const CurrentCatalogue &Base,
                                 const ApplyLimits &Limits) {
  Instant Deadline = readClock() + Limits.OutcomeTimeout;
  absl::Status Outcome = checkWriteOutcome(Store, Request, Base);
  while (!Outcome.ok() && Outcome.code() != absl::StatusCode::kAborted &&
         readClock() < Deadline) {
    Store.waitFor(Limits.PollInterval);
    Outcome = checkWriteOutcome(Store, Request, Base);
  }
  if (Outcome.ok() || Outcome.code() == absl::StatusCode::kAborted)
    return Outcome;
  return storeError(
      absl::StatusCode::kUnknown, Store,
      absl::StrCat("no answer to the write; it may still take effect "
                   "under apply id ",
                   Request.ApplyId,
                   "; last look at the store: ", Outcome.message()));
}

absl::Status writeWithRetries(StoreSession &Store, const ApplyRequest &Request,
                              const CurrentCatalogue &Base, const StoreTxn &Txn,
                              const ApplyLimits &Limits) {
  Instant Deadline = readClock() + Limits.RetryTimeout;
  while (true) {
    StoreReply Reply = Store.call(Txn);
    if (Reply.Status.ok() && Reply.Succeeded)
      return absl::OkStatus();
    if (Reply.Status.ok())
      return resolveWriteOutcome(Store, Request, Base, Limits);
    switch (Reply.Status.code()) {
    case absl::StatusCode::kUnknown:
    case absl::StatusCode::kDeadlineExceeded:
      return resolveWriteOutcome(Store, Request, Base, Limits);
    case absl::StatusCode::kUnavailable:
      if (readClock() + Limits.PollInterval >= Deadline)
        return storeError(
            absl::StatusCode::kUnavailable, Store,
            absl::StrCat("nothing applied: ", Reply.Status.message()));
      Store.waitFor(Limits.PollInterval);
      break;
    default:
      return storeError(absl::StatusCode::kInvalidArgument, Store,
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
  auto Current = readCurrentCatalogue(Store);
  if (!Current.ok())
    return Current.status();
  if (Current->Published.Revision != Request.Base)
    return conflictError(Store, Request, Current->Published);
  auto Old = parsePublishedCatalogue(Current->Published);
  if (!Old.ok())
    return Old.status();
  if (Request.Base != 0) {
    if (Current->Published.Text == Request.Text)
      return ApplyResult{.Revision = Request.Base, .Changes = {}};
    absl::Status Allowed = checkReplacement(*Old, *New);
    if (!Allowed.ok())
      return Allowed;
  }
  absl::Status Allowed = checkSliceCounts(Store, *New);
  if (!Allowed.ok())
    return Allowed;
  ApplyResult Result{.Revision = Request.Base + 1, .Changes = {}};
  if (Request.Base != 0)
    Result.Changes = diffCatalogues(*Old, *New);
  absl::Status WriteResult = writeWithRetries(
      Store, Request, *Current,
      makeTransaction(Request, *Current, Result.Changes), Limits);
  if (!WriteResult.ok())
    return WriteResult;
  return Result;
}

} // namespace orioledoor::ctl
