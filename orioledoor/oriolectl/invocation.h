// The invocation of a command: its arguments, options, terminal and event loop,
// with typed access to option values.
//
//   std::uint64_t Base = Call.requireNumber("base");
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

// Reports an invalid command line. runCommandLine() maps it to
// ExitStatus::Usage.
struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Invocation {
  Console Terminal;
  EventLoop &Loop;
  std::vector<std::string> Arguments;
  boost::program_options::variables_map Options;

  bool hasOption(const std::string &Option) const {
    return this->Options.contains(Option);
  }
  // Returns the option's value, or an empty string if the option was not given.
  std::string optionText(const std::string &Option) const;
  // Returns std::nullopt if the option was not given. Throws UsageError if its
  // value is not an unsigned decimal number of 64 bits.
  std::optional<std::uint64_t> optionNumber(const std::string &Option) const;

  // The following functions throw UsageError if the option was not given or its
  // value is not valid.
  std::uint64_t requireNumber(const std::string &Option) const;
  // Returns the value of --store.
  Endpoint storeAddress() const;
  // Returns the value of --author.
  std::string author() const;
};

// Describes a command of oriolectl.
struct Command {
  // The words that select the command, such as "catalogue apply".
  std::string_view Name;
  // Names of the positional arguments, separated by spaces. All of them are
  // required.
  std::string_view Arguments;
  std::string_view Summary;
  // Adds the options that are specific to this command; may be null.
  void (*AddOptions)(boost::program_options::options_description &Options);
  ExitStatus (*Run)(const Invocation &Call);
};

// Returns the content of the file. Errors: kInvalidArgument if it cannot be
// read.
absl::StatusOr<std::string> readFile(const std::string &Path);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_INVOCATION_H
