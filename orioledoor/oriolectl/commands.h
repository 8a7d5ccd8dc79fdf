// Declares the tables of all commands of oriolectl.
#ifndef ORIOLEDOOR_ORIOLECTL_COMMANDS_H
#define ORIOLEDOOR_ORIOLECTL_COMMANDS_H

#include <span>

#include "orioledoor/oriolectl/invocation.h"

namespace orioledoor::ctl {

// Each function returns the commands that one source file implements. The
// returned spans refer to static storage.
std::span<const Command> catalogueReadCommands();
std::span<const Command> catalogueWriteCommands();
std::span<const Command> statusCommands();
std::span<const Command> auditCommands();

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_COMMANDS_H
