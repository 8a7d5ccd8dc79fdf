// A catalogue as it stands in the store: revision, author and YAML text.
#ifndef ORIOLEDOOR_CATALOGUE_PUBLISHED_CATALOGUE_H
#define ORIOLEDOOR_CATALOGUE_PUBLISHED_CATALOGUE_H

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace orioledoor {

// The value under keys::CatalogueCurrent, JSON with the fields
// revision, apply_id, author, time_us, comment, text.
struct PublishedCatalogue {
  // Grows by one with each accepted change; the first is 1.
  std::uint64_t Revision = 0;
  // Unique to one attempt to apply; resolves writes whose answer was lost.
  std::string ApplyId;
  std::string Author;
  // UTC, microseconds since 1970.
  std::int64_t TimeMicros = 0;
  std::string Comment;
  // YAML.
  std::string Text;
};

std::string encodePublishedCatalogue(const PublishedCatalogue &Value);
absl::StatusOr<PublishedCatalogue>
decodePublishedCatalogue(std::string_view Json);

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_PUBLISHED_CATALOGUE_H
