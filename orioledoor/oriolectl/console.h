// What a command prints: tables for people or JSON for programs on the output,
// progress and errors on the error stream.
//
//   printRecords(Terminal, {{"revision", "REVISION"}, {"author", "AUTHOR"}},
//                Json::array({{{"revision", 7}, {"author", "ana"}}}));
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
  bool Json = false;

  // Prints "oriolectl: MESSAGE" and returns the status that belongs to Error.
  ExitStatus fail(const absl::Status &Error) const;
};

// A field of the records and the heading of its column.
struct Column {
  std::string Field;
  std::string Heading;
};

// Prints an array of objects: whole as JSON, or Columns as a table with long
// texts cut.
void printRecords(const Console &To, const std::vector<Column> &Columns,
                  const nlohmann::json &Records);

// Prints one object as JSON.
void printJson(const Console &To, const nlohmann::json &Value);

// "2026-01-31T08:00:00Z"
std::string formatTime(std::int64_t Micros);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_CONSOLE_H
