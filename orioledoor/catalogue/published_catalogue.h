// A published catalogue as stored in the key-value store: its YAML text with
// revision, author, time and comment.
#ifndef ORIOLEDOOR_CATALOGUE_PUBLISHED_CATALOGUE_H
#define ORIOLEDOOR_CATALOGUE_PUBLISHED_CATALOGUE_H

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace orioledoor {

// The value of keys::CatalogueCurrent, encoded as JSON with the fields
// revision, apply_id, author, time_us, comment and text.
struct PublishedCatalogue {
  // Starts at 1 and increases by one with each accepted change.
  std::uint64_t Revision = 0;
  // Unique to one attempt to apply a change. If the reply to the write is lost,
  // the writer compares it to find out whether the write took effect.
  std::string ApplyId;
  std::string Author;
  // UTC time in microseconds since the Unix epoch.
  std::int64_t TimeMicros = 0;
  std::string Comment;
  // The YAML document.
  std::string Text;
};

// Bytes that are not valid UTF-8 are replaced by U+FFFD.
std::string encodePublishedCatalogue(const PublishedCatalogue &Value);
// Errors: kDataLoss if Json is malformed, or if a field is missing or has the
// wrong type.
absl::StatusOr<PublishedCatalogue>
decodePublishedCatalogue(std::string_view Json);

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_PUBLISHED_CATALOGUE_H
