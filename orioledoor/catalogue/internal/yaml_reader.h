// Reads and validates YAML values for the parsers of catalogues and settings.
//
// The functions throw a YamlError at the first error. readDocument() converts
// it to a status, so the exception never leaves this package.
//
//   YamlMapping Root(Document, {"node_name", "region"});
//   std::string Name = readName(Root.require("node_name"));
#ifndef ORIOLEDOOR_CATALOGUE_INTERNAL_YAML_READER_H
#define ORIOLEDOOR_CATALOGUE_INTERNAL_YAML_READER_H

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "absl/status/statusor.h"

namespace orioledoor {
struct Endpoint;
} // namespace orioledoor

namespace orioledoor::internal {

// An error at a line of the document; Line counts from 1.
struct YamlError : std::runtime_error {
  YamlError(int Line, const std::string &Message)
      : std::runtime_error(Message), Line(Line) {}
  int Line;
};

// A value with its path for error messages, such as
// "services[0].limits.max_body".
struct YamlValue {
  YAML::Node Node;
  std::string Path;
  // The line of the field name if the value is absent, since yaml-cpp reports
  // the position of the next value for it; otherwise 0.
  int KeyLine = 0;

  // Throws a YamlError "PATH: WHAT; expected EXPECTED" at the value's line.
  [[noreturn]] void fail(std::string_view What,
                         std::string_view Expected) const;
  // Returns the line of the value, counted from 1.
  int line() const {
    return this->KeyLine != 0 ? this->KeyLine : this->Node.Mark().line + 1;
  }
  // Returns the text of a scalar; empty if the value is not a scalar.
  const std::string &text() const { return this->Node.Scalar(); }
};

// The fields of a mapping. The constructor throws a YamlError if the value is
// not a mapping, or if a key is not a scalar, duplicate or unknown.
class YamlMapping {
public:
  // An empty list of Allowed fields allows every name.
  YamlMapping(YamlValue Value, std::initializer_list<std::string_view> Allowed);

  // Returns the value of the field Name. Throws a YamlError at the mapping's
  // line if the field is absent.
  YamlValue require(std::string_view Name) const;
  // Returns the value of the field Name, if present. Linear in the number of
  // fields.
  std::optional<YamlValue> find(std::string_view Name) const;
  const std::vector<YamlValue> &values() const { return this->Values; }
  // Returns the field names, in the order of values().
  const std::vector<YamlValue> &keys() const { return this->Keys; }

private:
  YamlValue Mapping;
  // Invariant: distinct scalars, one for each element of Values.
  std::vector<YamlValue> Keys;
  std::vector<YamlValue> Values;
};

// Returns the items of a list.
//
// This and the following functions throw a YamlError if Value is not of the
// form that they describe.
std::vector<YamlValue> readList(const YamlValue &Value);

// Reads text that is not empty and has one line without tabs.
std::string readText(const YamlValue &Value);
// Reads a name of lower-case letters, digits and '-' that starts with a letter
// and has at most 63 characters.
std::string readName(const YamlValue &Value);
// Reads "true" or "false" without quotes.
bool readBool(const YamlValue &Value);
// Reads a finite number without unit from Min to Max.
double readNumber(const YamlValue &Value, double Min, double Max);
// Reads a whole number without unit from Min to Max.
std::uint64_t readInteger(const YamlValue &Value, std::uint64_t Min,
                          std::uint64_t Max);
// Reads a whole number with the unit ms, s or m, from 1 ms to Max.
std::chrono::milliseconds readDuration(const YamlValue &Value,
                                       std::chrono::milliseconds Max);
// Reads a whole number with the unit B, KiB, MiB or GiB, from 1 B to Max bytes.
std::uint64_t readSize(const YamlValue &Value, std::uint64_t Max);
// Reads one of Choices and returns its index.
std::size_t readChoice(const YamlValue &Value,
                       std::initializer_list<std::string_view> Choices);
// Reads "IP:PORT" or "[IPv6]:PORT"; rejects host names, wildcard addresses and
// port 0.
Endpoint readEndpoint(const YamlValue &Value);

// Parses Text, which must hold exactly one document. Throws a YamlError if Text
// is too large, is not valid UTF-8 or does not hold exactly one document, and a
// YAML::Exception for syntax errors.
YamlValue loadDocument(std::string_view Text);

// Returns kInvalidArgument with the message "FILE:LINE: MESSAGE".
absl::Status toStatus(std::string_view FileName, const YamlError &Error);

// Parses Text and returns the result of Read for the document. Errors:
// kInvalidArgument if Text is malformed or Read throws a YamlError.
template <typename ReadFunction>
auto readDocument(std::string_view Text, std::string_view FileName,
                  ReadFunction Read)
    -> absl::StatusOr<decltype(Read(std::declval<YamlValue>()))> {
  try {
    return Read(loadDocument(Text));
  } catch (const YamlError &Error) {
    return toStatus(FileName, Error);
  } catch (const YAML::Exception &Error) {
    return toStatus(FileName, YamlError(Error.mark.line + 1, Error.msg));
  }
}

} // namespace orioledoor::internal

#endif // ORIOLEDOOR_CATALOGUE_INTERNAL_YAML_READER_H
