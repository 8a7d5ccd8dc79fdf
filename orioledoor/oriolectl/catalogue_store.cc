// Reads and decodes the keys of the catalogue.
#include "orioledoor/oriolectl/catalogue_store.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/parse_catalogue.h"
#include "orioledoor/oriolectl/store_session.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ctl {

std::string historyKey(std::uint64_t Revision) {
  return absl::StrFormat("%s%012d", keys::CatalogueHistoryPrefix, Revision);
}

std::string revisionLabel(std::uint64_t Revision) {
  return absl::StrCat("revision ", Revision);
}

absl::StatusOr<CurrentCatalogue> readCurrentCatalogue(StoreSession &Store) {
  auto Entry = Store.readKey(keys::CatalogueCurrent);
  if (!Entry.ok())
    return Entry.status();
  CurrentCatalogue Current;
  if (!*Entry)
    return Current;
  auto Published = decodePublishedCatalogue((*Entry)->Value);
  if (!Published.ok())
    return Published.status();
  return CurrentCatalogue{std::move(*Published), (*Entry)->ModRevision};
}

absl::StatusOr<std::optional<PublishedCatalogue>>
findRevision(StoreSession &Store, std::uint64_t Revision) {
  auto Entry = Store.readKey(historyKey(Revision));
  if (!Entry.ok())
    return Entry.status();
  if (!*Entry)
    return std::nullopt;
  auto Published = decodePublishedCatalogue((*Entry)->Value);
  if (!Published.ok())
    return Published.status();
  return std::move(*Published);
}

absl::StatusOr<PublishedCatalogue> readRevision(StoreSession &Store,
                                                std::uint64_t Revision) {
  auto Found = findRevision(Store, Revision);
  if (!Found.ok())
    return Found.status();
  if (!*Found)
    return makeError(absl::StatusCode::kNotFound, "read catalogue",
                     "store " + Store.peer(),
                     revisionLabel(Revision) + " does not exist");
  return std::move(**Found);
}

absl::StatusOr<std::vector<PublishedCatalogue>>
readHistory(StoreSession &Store, std::int64_t Limit) {
  auto Entries = Store.read({.Key = keys::CatalogueHistoryPrefix,
                             .Prefix = true,
                             .Limit = Limit,
                             .Descending = true});
  if (!Entries.ok())
    return Entries.status();
  std::vector<PublishedCatalogue> History;
  for (const StoreEntry &Entry : *Entries) {
    auto Published = decodePublishedCatalogue(Entry.Value);
    if (!Published.ok())
      return Published.status();
    History.push_back(std::move(*Published));
  }
  return History;
}

absl::StatusOr<Catalogue>
parsePublishedCatalogue(const PublishedCatalogue &Value) {
  if (Value.Revision == 0)
    return Catalogue();
  return parseCatalogue(Value.Text, revisionLabel(Value.Revision));
}

absl::StatusOr<std::vector<CatalogueChange>>
diffPublishedCatalogues(const PublishedCatalogue &From,
                        const PublishedCatalogue &To) {
  auto Old = parsePublishedCatalogue(From);
  if (!Old.ok())
    return Old.status();
  auto New = parsePublishedCatalogue(To);
  if (!New.ok())
    return New.status();
  return diffCatalogues(*Old, *New);
}

} // namespace orioledoor::ctl
