// Reads fields of JSON documents that other writers may have changed. Unlike
// the conversions of the library, these functions reject values of another type
// or out of range instead of converting them.
//
//   Entry.Slots = readInteger<std::uint32_t>(Document.at("slots"), 0,
//   MaxSlots);
#ifndef ORIOLEDOOR_STORE_JSON_FIELDS_H
#define ORIOLEDOOR_STORE_JSON_FIELDS_H

#include <concepts>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

namespace orioledoor {

// Throws std::out_of_range if Value is not a whole number from Min to Max.
template <std::integral T>
T readInteger(const nlohmann::json &Value, T Min,
              T Max = std::numeric_limits<T>::max()) {
  if (!Value.is_number_integer())
    throw std::out_of_range("not a whole number");
  bool InRange = Value.is_number_unsigned()
                     ? std::in_range<T>(Value.get<std::uint64_t>())
                     : std::in_range<T>(Value.get<std::int64_t>());
  T Number = InRange ? Value.get<T>() : T{};
  if (!InRange || Number < Min || Number > Max)
    throw std::out_of_range("number out of range");
  return Number;
}

} // namespace orioledoor

#endif // ORIOLEDOOR_STORE_JSON_FIELDS_H
