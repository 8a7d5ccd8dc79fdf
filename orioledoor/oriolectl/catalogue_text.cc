// Formats lists of catalogue changes.
#include "orioledoor/oriolectl/catalogue_text.h"

#include <ostream>

#include <nlohmann/json.hpp>

namespace orioledoor::ctl {

void printChanges(std::ostream &Out, std::span<const CatalogueChange> Changes) {
  for (const CatalogueChange &Change : Changes)
    Out << "  " << Change.describe() << '\n';
}

nlohmann::json changesJson(std::span<const CatalogueChange> Changes) {
  nlohmann::json Records = nlohmann::json::array();
  for (const CatalogueChange &Change : Changes)
    Records.push_back(
        {{"field", Change.Field}, {"from", Change.From}, {"to", Change.To}});
  return Records;
}

} // namespace orioledoor::ctl
