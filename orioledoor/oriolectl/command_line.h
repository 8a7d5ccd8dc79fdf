// Selects and runs a command of oriolectl.
//
//   return static_cast<int>(runCommandLine(Arguments, Loop, {std::cout,
//                                          std::cerr}, "ana"));
#ifndef ORIOLEDOOR_ORIOLECTL_COMMAND_LINE_H
#define ORIOLEDOOR_ORIOLECTL_COMMAND_LINE_H

#include <string>
#include <vector>

#include "orioledoor/oriolectl/console.h"

namespace orioledoor::ctl {

class EventLoop;

// Runs the command that RawArguments selects and prints its output to Terminal.
// RawArguments excludes the program name. DefaultAuthor is the default of
// --author and is empty if unknown. Blocks until the command has finished.
// Reports invalid usage as ExitStatus::Usage instead of throwing.
ExitStatus runCommandLine(const std::vector<std::string> &RawArguments,
                          EventLoop &Loop, Console Terminal,
                          const std::string &DefaultAuthor);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_COMMAND_LINE_H
