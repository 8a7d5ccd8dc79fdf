// Decodes UTF-8 strictly: no overlong forms, no surrogates, at most U+10FFFF.
#include "orioledoor/catalogue/internal/utf8.h"

#include <algorithm>
#include <cstdint>

namespace orioledoor::internal {
namespace {

// The length of the character at the start of Text, or 0 if it is not valid.
std::size_t characterLength(std::string_view Text) {
  auto Lead = static_cast<unsigned char>(Text[0]);
  if (Lead < 0x80) {
    bool Control =
        (Lead < 0x20 && Lead != '\t' && Lead != '\n' && Lead != '\r') ||
        Lead == 0x7f;
    return Control ? 0 : 1;
  }
  std::size_t Length = Lead >= 0xf0 ? 4 : Lead >= 0xe0 ? 3 : 2;
  if (Lead < 0xc2 || Lead > 0xf4 || Text.size() < Length)
    return 0;
  std::string_view Rest = Text.substr(1, Length - 1);
  if (!std::ranges::all_of(Rest, [](char C) { return (C & 0xc0) == 0x80; }))
    return 0;
  std::uint32_t Code = Lead & (0x7f >> Length);
  for (char C : Rest)
    Code = (Code << 6) | (C & 0x3f);
  constexpr std::uint32_t Lowest[] = {0, 0, 0x80, 0x800, 0x10000};
  bool Surrogate = Code >= 0xd800 && Code <= 0xdfff;
  return Code < Lowest[Length] || Surrogate || Code > 0x10ffff ? 0 : Length;
}

} // namespace

std::size_t validUtf8Prefix(std::string_view Text) {
  std::size_t At = 0;
  while (At < Text.size()) {
    std::size_t Length = characterLength(Text.substr(At));
    if (Length == 0)
      break;
    At += Length;
  }
  return At;
}

} // namespace orioledoor::internal
