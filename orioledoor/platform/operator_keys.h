// Meaning of the store keys that the operator writes.
//
//   OperatorKey Key = decodeOperatorKey("op/evacuate/bilbao");
//   if (Key.Kind == OperatorKeyKind::Evacuation) ... // Key.FailureDomain
#ifndef ORIOLEDOOR_PLATFORM_OPERATOR_KEYS_H
#define ORIOLEDOOR_PLATFORM_OPERATOR_KEYS_H

#include <cstdint>
#include <string>
#include <string_view>

namespace orioledoor::platform {

enum class OperatorKeyKind : std::uint8_t {
  Invalid,
  Configuration,
  Evacuation
};

struct OperatorKey {
  OperatorKeyKind Kind = OperatorKeyKind::Invalid;
  // For Evacuation: the failure domain, whatever the value of the key is.
  std::string FailureDomain{};
  // For Invalid: why, for the log.
  std::string_view Fault{};
};

// Never fails: a key that has no meaning here is Invalid.
OperatorKey decodeOperatorKey(std::string_view Key);

} // namespace orioledoor::platform

#endif // ORIOLEDOOR_PLATFORM_OPERATOR_KEYS_H
