// Reads scalar values of YAML documents: text, numbers, quantities with
// units and addresses.
#include "orioledoor/catalogue/internal/yaml_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <span>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/parse_endpoint.h"
#include "orioledoor/catalogue/settings.h"

namespace orioledoor::internal {
namespace {

// A unit and its size as a multiple of the smallest unit.
struct Unit {
  std::string_view Name;
  std::uint64_t Factor;
};

constexpr std::array<Unit, 3> DurationUnits{
    {{"ms", 1}, {"s", 1'000}, {"m", 60'000}}};
constexpr std::array<Unit, 4> SizeUnits{
    {{"B", 1}, {"KiB", 1ULL << 10}, {"MiB", 1ULL << 20}, {"GiB", 1ULL << 30}}};

// Returns the text of a scalar; with RequirePlain, fails if the text is quoted.
std::string readScalar(const YamlValue &Value, bool RequirePlain,
                       std::string_view Expected) {
  if (Value.Node.IsNull() || !Value.Node.IsDefined())
    Value.fail("has no value", Expected);
  if (!Value.Node.IsScalar())
    Value.fail(Value.Node.IsMap() ? "found a mapping" : "found a list",
               Expected);
  if (RequirePlain && Value.Node.Tag() != "?")
    Value.fail(absl::StrCat("found the text \"", Value.Node.Scalar(), "\""),
               absl::StrCat(toAbsl(Expected), " without quotes"));
  return Value.Node.Scalar();
}

[[noreturn]] void failWithValue(const YamlValue &Value,
                                std::string_view Expected) {
  Value.fail(absl::StrCat("found \"", Value.Node.Scalar(), "\""), Expected);
}

// Parses Text as a number; returns nothing if a part of Text is left over.
template <typename Number>
std::optional<Number> parseNumber(std::string_view Text) {
  Number Result{};
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Result);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Result;
}

// Reads a whole number with one of Units and returns it in the smallest unit,
// of which it must be from 1 to Max.
std::uint64_t readQuantity(const YamlValue &Value, std::span<const Unit> Units,
                           std::uint64_t Max, std::string_view Example) {
  std::string UnitNames =
      absl::StrJoin(Units, ", ", [](std::string *Out, const Unit &Candidate) {
        Out->append(Candidate.Name);
      });
  std::string Expected = absl::StrCat(
      "a whole number with one of the units ", UnitNames, " such as ",
      toAbsl(Example), ", at most ", Max, toAbsl(Units.front().Name));
  std::string Text = readScalar(Value, false, Expected);
  std::size_t Digits =
      std::min(Text.find_first_not_of("0123456789"), Text.size());
  auto Number =
      parseNumber<std::uint64_t>(std::string_view(Text).substr(0, Digits));
  auto Found = std::ranges::find(Units, std::string_view(Text).substr(Digits),
                                 &Unit::Name);
  if (!Number || *Number == 0 || Found == Units.end() ||
      *Number > Max / Found->Factor)
    failWithValue(Value, Expected);
  return *Number * Found->Factor;
}

} // namespace

std::string readText(const YamlValue &Value) {
  std::string Text = readScalar(Value, false, "text");
  if (Text.empty() || Text.find_first_of("\n\r\t") != std::string::npos)
    failWithValue(Value, "text in one line, not empty");
  return Text;
}

std::string readName(const YamlValue &Value) {
  constexpr std::string_view Expected =
      "a name of lower-case letters, digits and '-', a letter first, at most "
      "63 characters";
  std::string Text = readScalar(Value, false, Expected);
  auto IsLetter = [](char Letter) { return Letter >= 'a' && Letter <= 'z'; };
  bool Valid = !Text.empty() && Text.size() <= 63 && IsLetter(Text.front()) &&
               std::ranges::all_of(Text, [&](char Letter) {
                 return IsLetter(Letter) || (Letter >= '0' && Letter <= '9') ||
                        Letter == '-';
               });
  if (!Valid)
    failWithValue(Value, Expected);
  return Text;
}

bool readBool(const YamlValue &Value) {
  std::string Text = readScalar(Value, true, "true or false");
  if (Text != "true" && Text != "false")
    failWithValue(Value, "true or false");
  return Text == "true";
}

double readNumber(const YamlValue &Value, double Min, double Max) {
  std::string Expected =
      absl::StrCat("a number without unit from ", Min, " to ", Max);
  auto Number = parseNumber<double>(readScalar(Value, true, Expected));
  if (!Number || !std::isfinite(*Number) || *Number < Min || *Number > Max)
    failWithValue(Value, Expected);
  return *Number;
}

std::uint64_t readInteger(const YamlValue &Value, std::uint64_t Min,
                          std::uint64_t Max) {
  std::string Expected =
      absl::StrCat("a whole number without unit from ", Min, " to ", Max);
  auto Number = parseNumber<std::uint64_t>(readScalar(Value, true, Expected));
  if (!Number || *Number < Min || *Number > Max)
    failWithValue(Value, Expected);
  return *Number;
}

std::chrono::milliseconds readDuration(const YamlValue &Value,
                                       std::chrono::milliseconds Max) {
  return std::chrono::milliseconds(
      readQuantity(Value, DurationUnits, Max.count(), "500ms or 30s"));
}

std::uint64_t readSize(const YamlValue &Value, std::uint64_t Max) {
  return readQuantity(Value, SizeUnits, Max, "1MiB");
}

std::size_t readChoice(const YamlValue &Value,
                       std::initializer_list<std::string_view> Choices) {
  std::string Expected = absl::StrCat(
      "one of ", absl::StrJoin(Choices, ", ",
                               [](std::string *Out, std::string_view Choice) {
                                 Out->append(Choice);
                               }));
  std::string Text = readScalar(Value, false, Expected);
  const auto *Found = std::ranges::find(Choices, Text);
  if (Found == Choices.end())
    failWithValue(Value, Expected);
  return static_cast<std::size_t>(Found - Choices.begin());
}

Endpoint readEndpoint(const YamlValue &Value) {
  constexpr std::string_view Expected =
      "IP:PORT with an IP number that others can connect to and a port from 1 "
      "to 65535, such as 127.0.0.1:8001 or [::1]:8001";
  std::string Text = readScalar(Value, false, Expected);
  std::optional<Endpoint> Parsed = parseEndpoint(Text);
  if (!Parsed)
    failWithValue(Value, Expected);
  return *Parsed;
}

} // namespace orioledoor::internal
