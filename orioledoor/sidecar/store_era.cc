// Comparison of eras and conversion of revisions.
#include "orioledoor/sidecar/store_era.h"

#include <variant>

#include "orioledoor/base/error.h"

namespace orioledoor::sidecar {

absl::Status earlierEraError() {
  return makeError(absl::StatusCode::kUnknown, "call store", "store",
                   "the answer is of an earlier or unreadable era");
}

StoreEra::Verdict StoreEra::observe(bool Answered, std::int64_t Era) {
  if (Era < 0 || Era > MaxStoreEra)
    return Verdict::Old;
  if (!Answered && Era == 0)
    return Verdict::Current;
  if (!this->Known || Era == *this->Known) {
    this->Known = Era;
    return Verdict::Current;
  }
  if (Era < *this->Known)
    return Verdict::Old;
  this->Known = Era;
  return Verdict::Risen;
}

void StoreEra::qualify(StoreReply &Reply) const {
  if (Reply.Revision != 0)
    Reply.Revision = qualifiedRevision(this->known(), Reply.Revision);
  for (StoreEntry &Entry : Reply.Entries)
    Entry.ModRevision = qualifiedRevision(this->known(), Entry.ModRevision);
}

void StoreEra::qualify(StoreWatchUpdate &Update) const {
  if (Update.Revision != 0)
    Update.Revision = qualifiedRevision(this->known(), Update.Revision);
  for (StoreChange &Change : Update.Changes)
    Change.Entry.ModRevision =
        qualifiedRevision(this->known(), Change.Entry.ModRevision);
}

void StoreEra::toStoreRevisions(StoreRequest &Request) {
  if (auto *Txn = std::get_if<StoreTxn>(&Request.Body))
    for (StoreCompare &Compare : Txn->Compares)
      Compare.ModRevision = storeRevision(Compare.ModRevision);
}

} // namespace orioledoor::sidecar
