// Validates UTF-8 strictly: rejects overlong encodings, surrogates and code
// points above U+10FFFF.
#include "orioledoor/catalogue/internal/utf8.h"

#include <algorithm>
#include <cstdint>

namespace orioledoor::internal {
namespace {

// Returns the length in bytes of the character at the start of Text, or 0 if it
// is invalid or a control character that is not allowed. Text must not be
// empty.
std::size_t characterLength(std::string_view Text) {
  auto Lead = static_cast<unsigned char>(Text[0]);
  if (Lead < 0x80) {
    bool IsForbiddenControl =
        (Lead < 0x20 && Lead != '\t' && Lead != '\n' && Lead != '\r') ||
        Lead == 0x7f;
    return IsForbiddenControl ? 0 : 1;
  }
  std::size_t Length = Lead >= 0xf0 ? 4 : Lead >= 0xe0 ? 3 : 2;
  if (Lead < 0xc2 || Lead > 0xf4 || Text.size() < Length)
    return 0;
  std::string_view Continuation = Text.substr(1, Length - 1);
  if (!std::ranges::all_of(Continuation,
                           [](char C) { return (C & 0xc0) == 0x80; }))
    return 0;
  std::uint32_t CodePoint = Lead & (0x7f >> Length);
  for (char C : Continuation)
    CodePoint = (CodePoint << 6) | (C & 0x3f);
  constexpr std::uint32_t MinCodePoint[] = {0, 0, 0x80, 0x800, 0x10000};
  bool IsSurrogate = CodePoint >= 0xd800 && CodePoint <= 0xdfff;
  return CodePoint < MinCodePoint[Length] || IsSurrogate || CodePoint > 0x10ffff
             ? 0
             : Length;
}

} // namespace

std::size_t validUtf8Prefix(std::string_view Text) {
  std::size_t Position = 0;
  while (Position < Text.size()) {
    std::size_t Length = characterLength(Text.substr(Position));
    if (Length == 0)
      break;
    Position += Length;
  }
  return Position;
}

} // namespace orioledoor::internal
