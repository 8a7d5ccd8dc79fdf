// Checked reading of YAML values for the catalogue and settings parsers.
//
// Functions report the first fault as a YamlFault exception, which
// readDocument turns into a status; it never leaves the package.
//
//   YamlMapping Root(Node, "", {"node_name", "region"});
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

// A fault at a line of the document; Line counts from 1.
struct YamlFault : std::runtime_error {
  YamlFault(int Line, const std::string &Message)
      : std::runtime_error(Message), Line(Line) {}
  int Line;
};

// A value and the path that names it in messages, such as
// "services[0].limits.max_body".
struct YamlValue {
  YAML::Node Node;
  std::string Path;
  // The line of the field name for a value that is absent, since yaml-cpp
  // places such a value where the next one begins. 0: the node's own line.
  int KeyLine = 0;

  // "PATH: WHAT; expected EXPECTED" at the value's line.
  [[noreturn]] void fail(std::string_view What,
                         std::string_view Expected) const;
  // Counts from 1.
  int line() const {
    return this->KeyLine != 0 ? this->KeyLine : this->Node.Mark().line + 1;
  }
  // Empty if the value is no scalar.
  const std::string &text() const { return this->Node.Scalar(); }
};

// The fields of one mapping. The constructor refuses values that are no
// mapping, keys that are no text, duplicate keys and unknown fields.
class YamlMapping {
public:
  // With an empty list of Allowed fields every name is allowed.
  YamlMapping(YamlValue Value, std::initializer_list<std::string_view> Allowed);

  // Fails at the mapping's line if the field is absent.
  YamlValue require(std::string_view Name) const;
  std::optional<YamlValue> find(std::string_view Name) const;
  const std::vector<YamlValue> &values() const { return this->Values; }
  // The field names, in the order of values().
  const std::vector<YamlValue> &keys() const { return this->Keys; }

private:
  YamlValue Whole;
  // Invariant: scalars, all different, as many as Values.
  std::vector<YamlValue> Keys;
  std::vector<YamlValue> Values;
};

// The items of a list; fails if Value is no list.
std::vector<YamlValue> readList(const YamlValue &Value);

// Any text in one line, not empty.
std::string readText(const YamlValue &Value);
// Lower-case letters, digits and '-', a letter first, at most 63 characters.
std::string readName(const YamlValue &Value);
// "true" or "false" without quotes.
bool readBool(const YamlValue &Value);
// A finite number without unit from Low to High.
double readNumber(const YamlValue &Value, double Low, double High);
// A whole number without unit from Low to High.
std::uint64_t readInteger(const YamlValue &Value, std::uint64_t Low,
                          std::uint64_t High);
// A whole number with the unit ms, s or m, from 1 ms to High.
std::chrono::milliseconds readDuration(const YamlValue &Value,
                                       std::chrono::milliseconds High);
// A whole number with the unit B, KiB, MiB or GiB, from 1 B to High bytes.
std::uint64_t readSize(const YamlValue &Value, std::uint64_t High);
// The position of the value in Choices.
std::size_t readChoice(const YamlValue &Value,
                       std::initializer_list<std::string_view> Choices);
// "IP:PORT" or "[IPv6]:PORT"; no host names, no wildcard address, no port 0.
Endpoint readEndpoint(const YamlValue &Value);

// The only document in Text. Fails on text that is not UTF-8, on syntax
// errors, and on none or several documents.
YamlValue loadDocument(std::string_view Text);

// "FILE:LINE: MESSAGE" as kInvalidArgument.
absl::Status faultStatus(std::string_view FileName, const YamlFault &Fault);

// Loads Text and applies Read to it; turns faults into kInvalidArgument.
template <typename ReadFunction>
auto readDocument(std::string_view Text, std::string_view FileName,
                  ReadFunction Read)
    -> absl::StatusOr<decltype(Read(std::declval<YamlValue>()))> {
  try {
    return Read(loadDocument(Text));
  } catch (const YamlFault &Fault) {
    return faultStatus(FileName, Fault);
  } catch (const YAML::Exception &Error) {
    return faultStatus(FileName, YamlFault(Error.mark.line + 1, Error.msg));
  }
}

} // namespace orioledoor::internal

#endif // ORIOLEDOOR_CATALOGUE_INTERNAL_YAML_READER_H
