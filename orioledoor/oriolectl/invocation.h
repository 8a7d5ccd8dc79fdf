// One call of a command: its arguments, options and surroundings.
//
//   std::uint64_t Base = requireNumber(Call, "base");
//   absl::StatusOr<std::string> Text = readFile(Call.Arguments[0]);
#ifndef ORIOLEDOOR_ORIOLECTL_INVOCATION_H
#define ORIOLEDOOR_ORIOLECTL_INVOCATION_H

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options.hpp>

#include "absl/status/statusor.h"
#include "orioledoor/catalogue/settings.h"
#include "orioledoor/oriolectl/console.h"

namespace orioledoor::ctl {

class EventLoop;

// A fault of the command line; runCommandLine() turns it into
// ExitStatus::Usage.
struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Invocation {
  Console Terminal;
  EventLoop &Loop;
  std::vector<std::string> Arguments;
  boost::program_options::variables_map Options;

  bool has(const std::string &Option) const {
    return this->Options.contains(Option);
  }
  // Empty if the option was not given.
  std::string text(const std::string &Option) const;
  // Nothing if the option was not given. Throws UsageError if it is no whole
  // number.
  std::optional<std::uint64_t> number(const std::string &Option) const;

  // These throw UsageError if the option was not given or is not valid.
  std::uint64_t requireNumber(const std::string &Option) const;
  // --store
  Endpoint store() const;
  // --author
  std::string author() const;
};

// A command of oriolectl.
struct Command {
  // Words that select it, such as "catalogue apply".
  std::string_view Name;
  // Names of its positional arguments, separated by spaces.
  std::string_view Arguments;
  std::string_view Summary;
  // Adds its own options; may be null.
  void (*AddOptions)(boost::program_options::options_description &Options);
  ExitStatus (*Run)(const Invocation &Call);
};

// Errors: kInvalidArgument.
absl::StatusOr<std::string> readFile(const std::string &Path);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_INVOCATION_H
