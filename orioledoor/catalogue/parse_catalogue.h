// Parses and validates catalogues and node settings in YAML.
//
//   absl::StatusOr<Catalogue> Parsed = parseCatalogue(Text, "catalogue.yaml");
//   if (!Parsed.ok()) std::cerr << Parsed.status().message();
//
// An error message names the file and the line and says what was found and what
// was expected, for example
//   catalogue.yaml:12: unknown field "clas"; expected one of name, owner, ...
#ifndef ORIOLEDOOR_CATALOGUE_PARSE_CATALOGUE_H
#define ORIOLEDOOR_CATALOGUE_PARSE_CATALOGUE_H

#include <string_view>

#include "absl/status/statusor.h"

namespace orioledoor {

struct Catalogue;
struct Settings;

// Each parses Text; FileName is for error messages only. Errors:
// kInvalidArgument for the first fault found. Thread-safe.
absl::StatusOr<Catalogue> parseCatalogue(std::string_view Text,
                                         std::string_view FileName);
absl::StatusOr<Settings> parseSettings(std::string_view Text,
                                       std::string_view FileName);

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_PARSE_CATALOGUE_H
