// Implements the decoding of the operator's store keys.
#include "orioledoor/platform/operator_keys.h"

#include <algorithm>

#include "orioledoor/platform/names.h"

namespace orioledoor::platform {
namespace {

// Longer names are errors of the writer, and would fill the log.
constexpr std::size_t MaxDomainLength = 128;

bool isNameCharacter(unsigned char Character) {
  return Character > ' ' && Character != '/' && Character != 0x7f;
}

} // namespace

OperatorKey decodeOperatorKey(std::string_view Key) {
  if (Key == names::ConfigKey)
    return {.Kind = OperatorKeyKind::Configuration};
  if (!Key.starts_with(names::EvacuationPrefix))
    return {.Fault = "the key has no meaning"};
  Key.remove_prefix(std::string_view(names::EvacuationPrefix).size());
  if (Key.empty() || Key.size() > MaxDomainLength ||
      !std::ranges::all_of(Key, isNameCharacter))
    return {.Fault = "it names no failure domain"};
  return {.Kind = OperatorKeyKind::Evacuation,
          .FailureDomain = std::string(Key)};
}

} // namespace orioledoor::platform
