// Validation of UTF-8. Text is stored inside JSON, which would not preserve
// invalid UTF-8.
//
//   bool Valid = validUtf8Prefix(Text) == Text.size();
#ifndef ORIOLEDOOR_CATALOGUE_INTERNAL_UTF8_H
#define ORIOLEDOOR_CATALOGUE_INTERNAL_UTF8_H

#include <cstddef>
#include <string_view>

namespace orioledoor::internal {

// Returns the length in bytes of the longest prefix of Text that is valid UTF-8
// and has no control characters other than tab, line feed and carriage return.
// Linear in the length of Text.
std::size_t validUtf8Prefix(std::string_view Text);

} // namespace orioledoor::internal

#endif // ORIOLEDOOR_CATALOGUE_INTERNAL_UTF8_H
