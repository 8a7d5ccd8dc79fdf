// Parses the command line of a test program.
//
//   if (auto Status = parseCommandLine("relay", Options, Argc, Argv))
//     return *Status;
#ifndef ORIOLEDOOR_STANDINS_COMMAND_LINE_H
#define ORIOLEDOOR_STANDINS_COMMAND_LINE_H

#include <optional>

namespace boost::program_options {
class options_description; // NOLINT(readability-identifier-naming)
} // namespace boost::program_options

namespace orioledoor::standins {

// Stores the parsed values in the variables bound to Options. Returns the exit
// status if the program has to end at once: 0 after --help, 2 after an error,
// which is printed with the options.
std::optional<int>
parseCommandLine(const char *Program,
                 const boost::program_options::options_description &Options,
                 int Argc, char **Argv);

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_COMMAND_LINE_H
