// All commands of oriolectl.
#ifndef ORIOLEDOOR_ORIOLECTL_COMMANDS_H
#define ORIOLEDOOR_ORIOLECTL_COMMANDS_H

#include <span>

#include "orioledoor/oriolectl/invocation.h"

namespace orioledoor::ctl {

// The commands of one file each; the data is static.
std::span<const Command> catalogueReadCommands();
std::span<const Command> catalogueWriteCommands();
std::span<const Command> statusCommands();
std::span<const Command> auditCommands();

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_COMMANDS_H
