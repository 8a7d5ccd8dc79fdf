// Formats catalogue changes as text and as JSON.
//
//   printChanges(std::cout, diffCatalogues(Old, New));
#ifndef ORIOLEDOOR_ORIOLECTL_CATALOGUE_TEXT_H
#define ORIOLEDOOR_ORIOLECTL_CATALOGUE_TEXT_H

#include <iosfwd>
#include <span>

#include <nlohmann/json_fwd.hpp>

#include "orioledoor/catalogue/catalogue_diff.h"

namespace orioledoor::ctl {

// Prints one indented line per change.
void printChanges(std::ostream &Out, std::span<const CatalogueChange> Changes);

// Returns an array of objects with the fields "field", "from" and "to".
nlohmann::json changesJson(std::span<const CatalogueChange> Changes);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_CATALOGUE_TEXT_H
