// Aligns columns of text.
#include "orioledoor/oriolectl/console.h"

#include <algorithm>
#include <iostream>

#include <nlohmann/json.hpp>

#include "absl/time/time.h"
#include "orioledoor/base/error.h"

namespace orioledoor::ctl {
namespace {

using nlohmann::json;

// Longer texts are cut in tables; JSON has them whole.
constexpr std::size_t MaxCell = 60;

std::string dump(const json &Value, int Indent) {
  return Value.dump(Indent, ' ', false, json::error_handler_t::replace);
}

// One line without control characters, so that stored text cannot move the
// terminal's cursor.
std::string cellText(const json &Record, const std::string &Field) {
  auto Found = Record.find(Field);
  if (Found == Record.end() || Found->is_null())
    return "-";
  std::string Text =
      Found->is_string() ? Found->get<std::string>() : dump(*Found, -1);
  std::ranges::replace_if(
      Text, [](unsigned char C) { return C < 0x20 || C == 0x7f; }, ' ');
  if (Text.size() > MaxCell) {
    // Cuts before a byte that begins a character of UTF-8.
    std::size_t End = MaxCell;
    while (End > 0 && (Text[End] & 0xc0) == 0x80)
      --End;
    Text = Text.substr(0, End) + "...";
  }
  return Text.empty() ? "-" : Text;
}

} // namespace

ExitStatus Console::fail(const absl::Status &Error) const {
  this->Err << "oriolectl: " << Error.message() << '\n';
  return exitStatusOf(Error);
}

void printRecords(const Console &To, const std::vector<Column> &Columns,
                  const json &Records) {
  if (To.Json) {
    printJson(To, Records);
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
    To.Out << Text << '\n';
  }
}

void printJson(const Console &To, const json &Value) {
  To.Out << dump(Value, 2) << '\n';
}

std::string formatTime(std::int64_t Micros) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromUnixMicros(Micros),
                          absl::UTCTimeZone());
}

} // namespace orioledoor::ctl
