// Reads the current catalogue and its earlier revisions from the store.
//
//   absl::StatusOr<CurrentCatalogue> Now = readCurrentCatalogue(Store);
//   std::cout << Now->Published.Revision;
#ifndef ORIOLEDOOR_ORIOLECTL_CATALOGUE_STORE_H
#define ORIOLEDOOR_ORIOLECTL_CATALOGUE_STORE_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/catalogue/catalogue_diff.h"
#include "orioledoor/catalogue/published_catalogue.h"

namespace orioledoor::ctl {

class StoreSession;

// The current catalogue and the store's modification revision of its key. Both
// revisions are 0 if no catalogue has been applied yet.
struct CurrentCatalogue {
  PublishedCatalogue Published;
  std::int64_t ModRevision = 0;
};

// Returns the key of a revision under keys::CatalogueHistoryPrefix.
std::string historyKey(std::uint64_t Revision);

// Returns a label such as "revision 7" for messages; it also serves as the file
// name in parse errors.
std::string revisionLabel(std::uint64_t Revision);

// Errors of the functions below that read the store: kUnavailable if it does
// not respond, kDataLoss if a value cannot be decoded.
absl::StatusOr<CurrentCatalogue> readCurrentCatalogue(StoreSession &Store);

// Returns std::nullopt if the revision does not exist.
absl::StatusOr<std::optional<PublishedCatalogue>>
findRevision(StoreSession &Store, std::uint64_t Revision);

// Like findRevision(), but returns kNotFound if the revision does not exist.
absl::StatusOr<PublishedCatalogue> readRevision(StoreSession &Store,
                                                std::uint64_t Revision);

// Returns the latest Limit revisions, latest first.
absl::StatusOr<std::vector<PublishedCatalogue>> readHistory(StoreSession &Store,
                                                            std::int64_t Limit);

// Parses the text of Value. Returns an empty catalogue if Value has revision 0.
absl::StatusOr<Catalogue>
parsePublishedCatalogue(const PublishedCatalogue &Value);

// Returns the changes between two published catalogues. Errors:
// kInvalidArgument if one of them cannot be parsed, for example because a newer
// release wrote it.
absl::StatusOr<std::vector<CatalogueChange>>
diffPublishedCatalogues(const PublishedCatalogue &From,
                        const PublishedCatalogue &To);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_CATALOGUE_STORE_H
