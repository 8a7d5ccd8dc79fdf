// The catalogue's revisions as they stand in the store.
//
//   absl::StatusOr<CurrentCatalogue> Now = readCurrent(Store);
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

// The current catalogue and the store revision of its key; both are 0 while
// there is none.
struct CurrentCatalogue {
  PublishedCatalogue Published;
  std::int64_t ModRevision = 0;
};

// The key of a revision under keys::CatalogueHistoryPrefix.
std::string historyKey(std::uint64_t Revision);

// "revision 7", used in messages and as the file name in parse errors.
std::string revisionName(std::uint64_t Revision);

// Errors of all functions below: kUnavailable if the store does not answer,
// kDataLoss if a value cannot be read.
absl::StatusOr<CurrentCatalogue> readCurrent(StoreSession &Store);

// Nothing if there is no such revision.
absl::StatusOr<std::optional<PublishedCatalogue>>
findRevision(StoreSession &Store, std::uint64_t Revision);

// As findRevision(); kNotFound if there is no such revision.
absl::StatusOr<PublishedCatalogue> readRevision(StoreSession &Store,
                                                std::uint64_t Revision);

// The latest Limit revisions, latest first.
absl::StatusOr<std::vector<PublishedCatalogue>> readHistory(StoreSession &Store,
                                                            std::int64_t Limit);

// The catalogue in Value; an empty one if Value has revision 0.
absl::StatusOr<Catalogue> parsePublished(const PublishedCatalogue &Value);

// What changed between two published catalogues. Errors: kInvalidArgument if
// one of them cannot be parsed, as one written by a newer release.
absl::StatusOr<std::vector<CatalogueChange>>
diffPublished(const PublishedCatalogue &From, const PublishedCatalogue &To);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_CATALOGUE_STORE_H
