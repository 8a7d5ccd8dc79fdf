// Structure of YAML documents: mappings, lists and the document as a whole.
#include "orioledoor/catalogue/internal/yaml_reader.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/internal/utf8.h"

namespace orioledoor::internal {
namespace {

// A change writes the text twice in one transaction. JSON escapes can double
// the text, and base64 adds a third: 1.4 MiB in one call.
constexpr std::size_t MaxDocumentBytes = 256 << 10;

std::string kindOf(const YAML::Node &Node) {
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

std::string join(std::initializer_list<std::string_view> Words) {
  return absl::StrJoin(Words, ", ", [](std::string *Out, std::string_view W) {
    Out->append(W);
  });
}

std::string pathOf(const YamlValue &Parent, std::string_view Field) {
  return absl::StrCat(Parent.Path, Parent.Path.empty() ? "" : ".",
                      toAbsl(Field));
}

} // namespace

void YamlValue::fail(std::string_view What, std::string_view Expected) const {
  throw YamlFault(this->line(),
                  absl::StrCat(this->Path, this->Path.empty() ? "" : ": ",
                               toAbsl(What), "; expected ", toAbsl(Expected)));
}

YamlMapping::YamlMapping(YamlValue Value,
                         std::initializer_list<std::string_view> Allowed)
    : Whole(std::move(Value)) {
  if (!this->Whole.Node.IsMap())
    this->Whole.fail(absl::StrCat("found ", kindOf(this->Whole.Node)),
                     Allowed.size() == 0
                         ? std::string("a mapping")
                         : "a mapping with the fields " + join(Allowed));
  for (const auto &Pair : this->Whole.Node) {
    YamlValue Key{Pair.first, this->Whole.Path, 0};
    if (!Key.Node.IsScalar())
      Key.fail(absl::StrCat("a field name is ", kindOf(Key.Node)), "text");
    const std::string &Name = Key.text();
    if (Allowed.size() != 0 &&
        std::ranges::find(Allowed, Name) == Allowed.end())
      Key.fail(absl::StrCat("unknown field \"", Name, "\""),
               "one of " + join(Allowed));
    auto Earlier = std::ranges::find(this->Keys, Name, &YamlValue::text);
    if (Earlier != this->Keys.end())
      Key.fail(
          absl::StrCat("duplicate field \"", Name, "\""),
          absl::StrCat("it only once, it is also on line ", Earlier->line()));
    this->Keys.push_back(Key);
    this->Values.push_back({Pair.second, pathOf(this->Whole, Name),
                            Pair.second.IsNull() ? Key.line() : 0});
  }
}

YamlValue YamlMapping::require(std::string_view Name) const {
  std::optional<YamlValue> Found = this->find(Name);
  if (!Found)
    this->Whole.fail(absl::StrCat("field \"", toAbsl(Name), "\" is missing"),
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
    Value.fail(absl::StrCat("found ", kindOf(Value.Node)), "a list");
  std::vector<YamlValue> Items;
  for (const auto &Item : Value.Node)
    Items.push_back({Item, absl::StrCat(Value.Path, "[", Items.size(), "]")});
  return Items;
}

YamlValue loadDocument(std::string_view Text) {
  if (Text.size() > MaxDocumentBytes)
    throw YamlFault(1, absl::StrCat("the file has ", Text.size(),
                                    " bytes; expected at most ",
                                    MaxDocumentBytes));
  std::size_t Valid = validUtf8Prefix(Text);
  if (Valid != Text.size())
    throw YamlFault(
        1 + static_cast<int>(std::ranges::count(Text.substr(0, Valid), '\n')),
        "found a byte that is not UTF-8; expected UTF-8 text without control "
        "characters");
  std::vector<YAML::Node> Documents = YAML::LoadAll(std::string(Text));
  if (Documents.empty())
    throw YamlFault(1, "the file is empty; expected one YAML document");
  if (Documents.size() > 1)
    throw YamlFault(Documents[1].Mark().line + 1,
                    "a second YAML document begins; expected one");
  return {Documents.front(), ""};
}

absl::Status faultStatus(std::string_view FileName, const YamlFault &Fault) {
  return absl::InvalidArgumentError(
      absl::StrCat(toAbsl(FileName), ":", Fault.Line, ": ", Fault.what()));
}

} // namespace orioledoor::internal
