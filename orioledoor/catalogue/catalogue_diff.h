// Compares two catalogues field by field, and checks whether a new catalogue
// may replace the published one.
//
//   for (const CatalogueChange &Change : diffCatalogues(Old, New))
//     std::cout << Change.describe() << '\n';
//   // services.consulta.limits.max_tries: 3 -> 2
#ifndef ORIOLEDOOR_CATALOGUE_CATALOGUE_DIFF_H
#define ORIOLEDOOR_CATALOGUE_CATALOGUE_DIFF_H

#include <string>
#include <vector>

#include "absl/status/status.h"

namespace orioledoor {

struct Catalogue;

// A field that differs between two catalogues.
struct CatalogueChange {
  // "services.NAME.limits.max_tries", "regions.NAME.state", ...
  std::string Field;
  // Values as written in the YAML file; "none" if the entry is absent.
  std::string From;
  std::string To;

  // Returns "FIELD: FROM -> TO".
  std::string describe() const;

  friend bool operator==(const CatalogueChange &,
                         const CatalogueChange &) = default;
};

// Returns all fields in which From and To differ, sorted by name. The order of
// services and regions in the file is ignored. An entry that only one of the
// two has is listed with each of its fields.
std::vector<CatalogueChange> diffCatalogues(const Catalogue &From,
                                            const Catalogue &To);

// Checks that To may replace From. Errors: kFailedPrecondition if To changes
// the number of slices of an existing service, since keys would move to other
// owners, or the deployment, since the store belongs to one deployment.
absl::Status checkReplacement(const Catalogue &From, const Catalogue &To);

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_CATALOGUE_DIFF_H
