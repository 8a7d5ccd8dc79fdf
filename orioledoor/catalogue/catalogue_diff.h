// Differences between two catalogues, field by field, and the check that one
// may follow the other.
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

// One field that differs.
struct CatalogueChange {
  // "services.NAME.limits.max_tries", "regions.NAME.state", ...
  std::string Field;
  // In the notation of the YAML file; "none" if the entry is absent.
  std::string From;
  std::string To;

  // "FIELD: FROM -> TO"
  std::string describe() const;

  friend bool operator==(const CatalogueChange &,
                         const CatalogueChange &) = default;
};

// All fields in which From and To differ, in the order of their names. The
// order of services and regions in the file does not count. An entry that only
// one of them has counts with each of its fields.
std::vector<CatalogueChange> diffCatalogues(const Catalogue &From,
                                            const Catalogue &To);

// Whether To may replace From. Errors: kFailedPrecondition if To changes the
// slices of a service that exists, since every key would move to another
// owner, or the deployment, since the store belongs to one deployment.
absl::Status checkReplacement(const Catalogue &From, const Catalogue &To);

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_CATALOGUE_DIFF_H
