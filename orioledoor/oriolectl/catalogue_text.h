// Catalogue changes as text and JSON.
//
//   printChanges(std::cout, diffCatalogues(Old, New));
#ifndef ORIOLEDOOR_ORIOLECTL_CATALOGUE_TEXT_H
#define ORIOLEDOOR_ORIOLECTL_CATALOGUE_TEXT_H

#include <iosfwd>
#include <span>

#include <nlohmann/json_fwd.hpp>

#include "orioledoor/catalogue/catalogue_diff.h"

namespace orioledoor::ctl {

// One indented line a change.
void printChanges(std::ostream &Out, std::span<const CatalogueChange> Changes);

// An array of {"field", "from", "to"}.
nlohmann::json changesJson(std::span<const CatalogueChange> Changes);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_CATALOGUE_TEXT_H
