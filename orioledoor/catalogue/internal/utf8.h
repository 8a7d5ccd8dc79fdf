// Check that text is UTF-8, so that it survives the JSON form in the store
// unchanged.
//
//   bool Good = validUtf8Prefix(Text) == Text.size();
#ifndef ORIOLEDOOR_CATALOGUE_INTERNAL_UTF8_H
#define ORIOLEDOOR_CATALOGUE_INTERNAL_UTF8_H

#include <cstddef>
#include <string_view>

namespace orioledoor::internal {

// The length of the longest prefix of Text that is UTF-8 without control
// characters other than tab, line feed and carriage return. Linear.
std::size_t validUtf8Prefix(std::string_view Text);

} // namespace orioledoor::internal

#endif // ORIOLEDOOR_CATALOGUE_INTERNAL_UTF8_H
