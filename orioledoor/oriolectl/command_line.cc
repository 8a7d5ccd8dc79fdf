// Parses the command line with Boost.Program_options, prints help and
// dispatches to the selected command.
#include "orioledoor/oriolectl/command_line.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <iterator>

#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "orioledoor/base/error.h"
#include "orioledoor/oriolectl/commands.h"

namespace orioledoor::ctl {
namespace {

namespace po = boost::program_options;

constexpr char ExitStatusHelp[] = R"(
Exit statuses:
  0  success
  1  usage: unknown command or option, or an option is missing
  2  invalid input: a file, a value or a stored document is not valid
  3  conflict: another change was made since the base revision
  4  the store or a node did not answer
  5  outcome unknown: a write may or may not have taken effect
  6  timed out waiting for the nodes
)";

std::vector<Command> allCommands() {
  std::vector<Command> Commands;
  for (auto Group : {catalogueReadCommands(), catalogueWriteCommands(),
                     statusCommands(), auditCommands()})
    std::ranges::copy(Group, std::back_inserter(Commands));
  return Commands;
}

std::vector<std::string> splitWords(std::string_view Text) {
  return absl::StrSplit(toAbsl(Text), ' ', absl::SkipEmpty());
}

po::options_description commonOptions(const std::string &DefaultAuthor) {
  auto Author = po::value<std::string>()->value_name("NAME");
  if (!DefaultAuthor.empty())
    Author->default_value(DefaultAuthor);
  po::options_description Options("Common options");
  Options.add_options()("help,h", "shows this help")(
      "store", po::value<std::string>()->value_name("IP:PORT"),
      "address of the store")(
      "author", Author,
      "who makes a change; default: environment USER, else the account")(
      "output",
      po::value<std::string>()->default_value("table")->value_name("FORMAT"),
      "table or json");
  return Options;
}

void printOverview(std::ostream &Out, std::span<const Command> Commands) {
  Out << "Usage: oriolectl [OPTION...] COMMAND [ARGUMENT...] "
         "[OPTION...]\n\nCommands:\n";
  for (const Command &C : Commands) {
    std::string Usage(C.Name);
    if (!C.Arguments.empty())
      Usage += ' ' + std::string(C.Arguments);
    Out << "  " << std::left << std::setw(28) << Usage << ' ' << C.Summary
        << '\n';
  }
  Out << "\n`oriolectl COMMAND --help` shows the options of a command.\n"
      << ExitStatusHelp;
}

void printCommandHelp(std::ostream &Out, const Command &Selected,
                      const po::options_description &CommandOptions,
                      const po::options_description &CommonOptions) {
  Out << "Usage: oriolectl " << Selected.Name;
  if (!Selected.Arguments.empty())
    Out << ' ' << Selected.Arguments;
  Out << " [OPTION...]\n\n" << Selected.Summary << "\n\n";
  if (!CommandOptions.options().empty())
    Out << CommandOptions << '\n';
  Out << CommonOptions << ExitStatusHelp;
}

// Moves options that precede the command to the end: "--store X catalogue show"
// becomes "catalogue show --store X". Assumes that every common option except
// --help takes a value.
std::vector<std::string>
moveOptionsAfterCommand(const std::vector<std::string> &Arguments) {
  auto CommandBegin = Arguments.begin();
  while (CommandBegin != Arguments.end() && CommandBegin->starts_with("--")) {
    bool IsOneToken = *CommandBegin == "--help" ||
                      CommandBegin->find('=') != std::string::npos;
    CommandBegin += std::min<std::ptrdiff_t>(IsOneToken ? 1 : 2,
                                             Arguments.end() - CommandBegin);
  }
  std::vector<std::string> Result(CommandBegin, Arguments.end());
  Result.insert(Result.end(), Arguments.begin(), CommandBegin);
  return Result;
}

// Returns whether the command line begins with the words of the command's name.
bool matchesCommand(const Command &Candidate,
                    const std::vector<std::string> &Arguments) {
  std::vector<std::string> Name = splitWords(Candidate.Name);
  return Arguments.size() >= Name.size() &&
         std::equal(Name.begin(), Name.end(), Arguments.begin());
}

ExitStatus runCommand(const Command &Selected,
                      const std::vector<std::string> &CommandArguments,
                      EventLoop &Loop, Console Terminal,
                      const std::string &DefaultAuthor) {
  po::options_description CommandOptions("Options");
  if (Selected.AddOptions)
    Selected.AddOptions(CommandOptions);
  po::options_description CommonOptions = commonOptions(DefaultAuthor);
  po::options_description AllOptions;
  AllOptions.add(CommandOptions)
      .add(CommonOptions)
      .add_options()("argument", po::value<std::vector<std::string>>());
  po::positional_options_description PositionalOptions;
  PositionalOptions.add("argument", -1);
  // Abbreviated option names are rejected, since adding an option could change
  // what an abbreviation selects.
  int Style = po::command_line_style::default_style &
              ~po::command_line_style::allow_guessing;
  Invocation Call{Terminal, Loop, {}, {}};
  po::store(po::command_line_parser(CommandArguments)
                .options(AllOptions)
                .positional(PositionalOptions)
                .style(Style)
                .run(),
            Call.Options);
  if (Call.hasOption("help")) {
    printCommandHelp(Terminal.Out, Selected, CommandOptions, CommonOptions);
    return ExitStatus::Success;
  }
  if (Call.hasOption("argument"))
    Call.Arguments = Call.Options["argument"].as<std::vector<std::string>>();
  if (Call.Arguments.size() != splitWords(Selected.Arguments).size())
    throw UsageError("found " + std::to_string(Call.Arguments.size()) +
                     " arguments; expected " +
                     (Selected.Arguments.empty()
                          ? "none"
                          : std::string(Selected.Arguments)));
  std::string Format = Call.optionText("output");
  if (Format != "table" && Format != "json")
    throw UsageError("--output is \"" + Format + "\"; expected table or json");
  Call.Terminal.JsonOutput = Format == "json";
  return Selected.Run(Call);
}

} // namespace

ExitStatus runCommandLine(const std::vector<std::string> &RawArguments,
                          EventLoop &Loop, Console Terminal,
                          const std::string &DefaultAuthor) {
  std::vector<std::string> Arguments = moveOptionsAfterCommand(RawArguments);
  std::vector<Command> Commands = allCommands();
  constexpr std::array<std::string_view, 3> HelpWords{"help", "--help", "-h"};
  if (!Arguments.empty() &&
      std::ranges::find(HelpWords, Arguments.front()) != HelpWords.end()) {
    printOverview(Terminal.Out, Commands);
    return ExitStatus::Success;
  }
  auto Selected = std::ranges::find_if(
      Commands, [&](const Command &C) { return matchesCommand(C, Arguments); });
  if (Selected == Commands.end()) {
    bool WantsHelp = std::ranges::any_of(Arguments, [&](const std::string &A) {
      return A == "--help" || A == "-h";
    });
    if (!WantsHelp)
      Terminal.Err << "oriolectl: unknown command \""
                   << absl::StrJoin(Arguments, " ") << "\"\n";
    printOverview(WantsHelp ? Terminal.Out : Terminal.Err, Commands);
    return WantsHelp ? ExitStatus::Success : ExitStatus::Usage;
  }
  std::vector<std::string> CommandArguments(
      std::next(Arguments.begin(), std::ssize(splitWords(Selected->Name))),
      Arguments.end());
  try {
    return runCommand(*Selected, CommandArguments, Loop, Terminal,
                      DefaultAuthor);
  } catch (const UsageError &Error) {
    Terminal.Err << "oriolectl " << Selected->Name << ": " << Error.what()
                 << '\n';
  } catch (const po::error &Error) {
    Terminal.Err << "oriolectl " << Selected->Name << ": " << Error.what()
                 << '\n';
  }
  Terminal.Err << "`oriolectl " << Selected->Name
               << " --help` shows its options.\n";
  return ExitStatus::Usage;
}

} // namespace orioledoor::ctl
