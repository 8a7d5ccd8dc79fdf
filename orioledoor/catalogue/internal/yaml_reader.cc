// Reads the structure of YAML documents: the document as a whole, mappings and
// lists.
#include "orioledoor/catalogue/internal/yaml_reader.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/internal/utf8.h"

namespace orioledoor::internal {
namespace {

// Publishing a catalogue writes its text twice in one transaction. JSON escapes
// can double the size and base64 adds a third, so a text of this size results
// in a request of up to 1.4 MiB.
constexpr std::size_t MaxDocumentBytes = 256 << 10;

std::string describeNode(const YAML::Node &Node) {
  switch (Node.Type()) {
  case YAML::NodeType::Scalar:
    return absl::StrCat("\"", Node.Scalar(), "\"");
  case YAML::NodeType::Sequence:
    return "a list";
  case YAML::NodeType::Map:
    return "a mapping";
  default:
    return "nothing";
  }
}

std::string join(std::initializer_list<std::string_view> Texts) {
  return absl::StrJoin(
      Texts, ", ",
      [](std::string *Out, std::string_view Text) { Out->append(Text); });
}

std::string fieldPath(const YamlValue &Parent, std::string_view Field) {
  return absl::StrCat(Parent.Path, Parent.Path.empty() ? "" : ".",
                      toAbsl(Field));
}

} // namespace

void YamlValue::fail(std::string_view What, std::string_view Expected) const {
  throw YamlError(this->line(),
                  absl::StrCat(this->Path, this->Path.empty() ? "" : ": ",
                               toAbsl(What), "; expected ", toAbsl(Expected)));
}

YamlMapping::YamlMapping(YamlValue Value,
                         std::initializer_list<std::string_view> Allowed)
    : Mapping(std::move(Value)) {
  if (!this->Mapping.Node.IsMap())
    this->Mapping.fail(absl::StrCat("found ", describeNode(this->Mapping.Node)),
                       Allowed.size() == 0
                           ? std::string("a mapping")
                           : "a mapping with the fields " + join(Allowed));
  for (const auto &Field : this->Mapping.Node) {
    YamlValue Key{Field.first, this->Mapping.Path, 0};
    if (!Key.Node.IsScalar())
      Key.fail(absl::StrCat("a field name is ", describeNode(Key.Node)),
               "text");
    const std::string &Name = Key.text();
    if (Allowed.size() != 0 &&
        std::ranges::find(Allowed, Name) == Allowed.end())
      Key.fail(absl::StrCat("unknown field \"", Name, "\""),
               "one of " + join(Allowed));
    auto FirstUse = std::ranges::find(this->Keys, Name, &YamlValue::text);
    if (FirstUse != this->Keys.end())
      Key.fail(
          absl::StrCat("duplicate field \"", Name, "\""),
          absl::StrCat("it only once, it is also on line ", FirstUse->line()));
    this->Keys.push_back(Key);
    this->Values.push_back({Field.second, fieldPath(this->Mapping, Name),
                            Field.second.IsNull() ? Key.line() : 0});
  }
}

YamlValue YamlMapping::require(std::string_view Name) const {
  std::optional<YamlValue> Found = this->find(Name);
  if (!Found)
    this->Mapping.fail(absl::StrCat("field \"", toAbsl(Name), "\" is missing"),
                       "a value for it");
  return *Found;
}

std::optional<YamlValue> YamlMapping::find(std::string_view Name) const {
  auto Found = std::ranges::find(this->Keys, Name, &YamlValue::text);
  if (Found == this->Keys.end())
    return std::nullopt;
  return this->Values[Found - this->Keys.begin()];
}

std::vector<YamlValue> readList(const YamlValue &Value) {
  if (!Value.Node.IsSequence())
    Value.fail(absl::StrCat("found ", describeNode(Value.Node)), "a list");
  std::vector<YamlValue> Items;
  for (const auto &Item : Value.Node)
    Items.push_back({Item, absl::StrCat(Value.Path, "[", Items.size(), "]")});
  return Items;
}

YamlValue loadDocument(std::string_view Text) {
  if (Text.size() > MaxDocumentBytes)
    throw YamlError(1, absl::StrCat("the file has ", Text.size(),
                                    " bytes; expected at most ",
                                    MaxDocumentBytes));
  std::size_t ValidBytes = validUtf8Prefix(Text);
  if (ValidBytes != Text.size())
    throw YamlError(
        1 + static_cast<int>(
                std::ranges::count(Text.substr(0, ValidBytes), '\n')),
        "found a byte that is not UTF-8; expected UTF-8 text without control "
        "characters");
  std::vector<YAML::Node> Documents = YAML::LoadAll(std::string(Text));
  if (Documents.empty())
    throw YamlError(1, "the file is empty; expected one YAML document");
  if (Documents.size() > 1)
    throw YamlError(Documents[1].Mark().line + 1,
                    "a second YAML document begins; expected one");
  return {Documents.front(), ""};
}

absl::Status toStatus(std::string_view FileName, const YamlError &Error) {
  return absl::InvalidArgumentError(
      absl::StrCat(toAbsl(FileName), ":", Error.Line, ": ", Error.what()));
}

} // namespace orioledoor::internal
