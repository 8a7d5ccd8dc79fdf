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

// Given excludes the program's name. DefaultAuthor stands for a missing
// --author; empty if unknown. Throws nothing.
ExitStatus runCommandLine(const std::vector<std::string> &Given,
                          EventLoop &Loop, Console Terminal,
                          const std::string &DefaultAuthor);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_COMMAND_LINE_H
