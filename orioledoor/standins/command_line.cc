// Wraps Boost.Program_options with the messages that all test programs share.
#include "orioledoor/standins/command_line.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace orioledoor::standins {

namespace po = boost::program_options;

std::optional<int> parseCommandLine(const char *Program,
                                    const po::options_description &Options,
                                    int Argc, char **Argv) {
  try {
    po::variables_map ParsedOptions;
    po::store(po::parse_command_line(Argc, Argv, Options), ParsedOptions);
    if (ParsedOptions.contains("help")) {
      std::cout << Options;
      return 0;
    }
    po::notify(ParsedOptions);
    return std::nullopt;
  } catch (const po::error &Error) {
    std::cerr << Program << ": " << Error.what() << '\n' << Options;
    return 2;
  }
}

} // namespace orioledoor::standins
