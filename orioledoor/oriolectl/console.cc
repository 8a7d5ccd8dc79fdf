// Formats records as aligned text columns or as JSON.
#include "orioledoor/oriolectl/console.h"

#include <algorithm>
#include <iostream>

#include <nlohmann/json.hpp>

#include "absl/time/time.h"
#include "orioledoor/base/error.h"

namespace orioledoor::ctl {
namespace {

using nlohmann::json;

// Longer cells are truncated in tables. JSON output contains them in full.
constexpr std::size_t MaxCellBytes = 60;

std::string dump(const json &Value, int Indent) {
  return Value.dump(Indent, ' ', false, json::error_handler_t::replace);
}

// Returns the field as one line without control characters, so that text from
// the store cannot send escape sequences to the terminal.
std::string cellText(const json &Record, const std::string &Field) {
  auto Found = Record.find(Field);
  if (Found == Record.end() || Found->is_null())
    return "-";
  std::string Text =
      Found->is_string() ? Found->get<std::string>() : dump(*Found, -1);
  std::ranges::replace_if(
      Text, [](unsigned char C) { return C < 0x20 || C == 0x7f; }, ' ');
  if (Text.size() > MaxCellBytes) {
    // Truncates at a character boundary: UTF-8 continuation bytes are 10xxxxxx.
    std::size_t End = MaxCellBytes;
    while (End > 0 && (Text[End] & 0xc0) == 0x80)
      --End;
    Text = Text.substr(0, End) + "...";
  }
  return Text.empty() ? "-" : Text;
}

} // namespace

ExitStatus Console::reportError(const absl::Status &Error) const {
  this->Err << "oriolectl: " << Error.message() << '\n';
  return toExitStatus(Error);
}

void printRecords(const Console &Terminal, const std::vector<Column> &Columns,
                  const json &Records) {
  if (Terminal.JsonOutput) {
    printJson(Terminal, Records);
    return;
  }
  std::vector<std::vector<std::string>> Lines(1);
  for (const Column &C : Columns)
    Lines[0].push_back(C.Heading);
  for (const json &Record : Records) {
    std::vector<std::string> &Line = Lines.emplace_back();
    for (const Column &C : Columns)
      Line.push_back(cellText(Record, C.Field));
  }
  std::vector<std::size_t> Widths(Columns.size());
  for (const auto &Line : Lines)
    std::ranges::transform(Line, Widths, Widths.begin(),
                           [](const std::string &Cell, std::size_t Width) {
                             return std::max(Cell.size(), Width);
                           });
  for (const auto &Line : Lines) {
    std::string Text;
    for (std::size_t I = 0; I < Line.size(); ++I) {
      Text += Line[I];
      if (I + 1 < Line.size())
        Text.append(Widths[I] - Line[I].size() + 2, ' ');
    }
    Terminal.Out << Text << '\n';
  }
}

void printJson(const Console &Terminal, const json &Value) {
  Terminal.Out << dump(Value, 2) << '\n';
}

std::string formatTime(std::int64_t Micros) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromUnixMicros(Micros),
                          absl::UTCTimeZone());
}

} // namespace orioledoor::ctl
