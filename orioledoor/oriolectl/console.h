// The output of commands: tables or JSON on the output stream, progress and
// errors on the error stream.
//
//   printRecords(Terminal, {{"revision", "REVISION"}, {"author", "AUTHOR"}},
//                nlohmann::json::array(
//                    {{{"revision", 7}, {"author", "ana"}}}));
#ifndef ORIOLEDOOR_ORIOLECTL_CONSOLE_H
#define ORIOLEDOOR_ORIOLECTL_CONSOLE_H

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "absl/status/status.h"
#include "orioledoor/oriolectl/exit_status.h"

namespace orioledoor::ctl {

struct Console {
  std::ostream &Out;
  std::ostream &Err;
  bool JsonOutput = false;

  // Prints "oriolectl: MESSAGE" to the error stream and returns the exit status
  // for Error. Error must not be OK.
  ExitStatus reportError(const absl::Status &Error) const;
};

// A column of a table: the JSON field that it shows and its heading.
struct Column {
  std::string Field;
  std::string Heading;
};

// Prints Records, an array of objects. JSON output contains all fields in full;
// a table contains only Columns and truncates long text.
void printRecords(const Console &Terminal, const std::vector<Column> &Columns,
                  const nlohmann::json &Records);

// Prints Value as indented JSON.
void printJson(const Console &Terminal, const nlohmann::json &Value);

// Formats microseconds since the Unix epoch as UTC with a resolution of one
// second, such as "2026-01-31T08:00:00Z".
std::string formatTime(std::int64_t Micros);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_CONSOLE_H
