// operation_judge: compares the answers that callers received (load_tool
// --operations) with the operation logs of the targets (GET /standin/log) after
// a run with faults. Prints one line of counts and the first violations. The
// exit status is 1 if
//   - an operation was executed more than once,
//   - an operation answered as "ran" is in no log,
//   - an operation answered as "not-run" is in a log,
//   - two targets executed operations on one key at the same time, or a later
//     operation on a key carries a lower fencing number.
//
//   operation_judge --operations ops.txt --log target-0.json --log ...
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "orioledoor/standins/command_line.h"

namespace po = boost::program_options;

namespace {

constexpr std::size_t ViolationsShown = 10;

struct Execution {
  std::size_t Target = 0;
  std::int64_t Start = 0;
  std::int64_t End = 0;
  std::uint32_t Fence = 0;
  std::string Operation;
};

struct AnswerCounts {
  std::uint64_t Ran = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
};

class OperationChecker {
public:
  void readLog(const std::string &File) {
    std::ifstream In(File);
    std::size_t Target = this->Targets++;
    for (const auto &Line : nlohmann::json::parse(In)) {
      if (Line.at("outcome") != "executed" ||
          Line.value("operation", "").empty())
        continue;
      Execution LogEntry{Target, Line.at("start_us"), Line.at("end_us"),
                         Line.at("fence"), Line.at("operation")};
      ++this->ExecutionCounts[LogEntry.Operation];
      this->ExecutionsByKey[Line.at("key")].push_back(std::move(LogEntry));
    }
  }

  void readOperations(const std::string &File) {
    std::ifstream In(File);
    std::string Operation;
    std::string Key;
    int Status = 0;
    std::string Outcome;
    // A request without an outcome, or without any answer, counts as unknown.
    for (std::string Line; std::getline(In, Line);) {
      std::istringstream Fields(Line);
      Outcome.clear();
      Fields >> Operation >> Key >> Status >> Outcome;
      this->checkAnswer(Operation, Outcome);
    }
  }

  void checkDuplicates() {
    for (const auto &[Operation, Count] : this->ExecutionCounts)
      if (Count > 1)
        this->reportViolation("operation " + Operation + " ran " +
                              std::to_string(Count) + " times");
  }

  void checkKeyOrder() {
    for (auto &[Key, Writes] : this->ExecutionsByKey) {
      std::ranges::sort(Writes, {}, &Execution::Start);
      for (std::size_t I = 1; I < Writes.size(); ++I)
        this->checkPair(Key, Writes[I - 1], Writes[I]);
    }
  }

  int report() const {
    std::cout << "executed " << this->ExecutionCounts.size()
              << ", answered ran " << this->Answers.Ran << ", not-run "
              << this->Answers.NotRun << ", unknown " << this->Answers.Unknown
              << ", keys " << this->ExecutionsByKey.size() << ", violations "
              << this->Violations << '\n';
    return this->Violations == 0 ? 0 : 1;
  }

private:
  void checkAnswer(const std::string &Operation, const std::string &Outcome) {
    bool Executed = this->ExecutionCounts.contains(Operation);
    if (Outcome == "ran") {
      ++this->Answers.Ran;
      if (!Executed)
        this->reportViolation("operation " + Operation +
                              " answered as ran is in no log");
    } else if (Outcome == "not-run") {
      ++this->Answers.NotRun;
      if (Executed)
        this->reportViolation("operation " + Operation +
                              " answered as not-run ran");
    } else {
      ++this->Answers.Unknown;
    }
  }

  void checkPair(const std::string &Key, const Execution &Earlier,
                 const Execution &Later) {
    if (Later.Fence < Earlier.Fence)
      this->reportViolation("key " + Key + ": fencing number fell from " +
                            std::to_string(Earlier.Fence) + " to " +
                            std::to_string(Later.Fence));
    if (Later.Target != Earlier.Target && Later.Start < Earlier.End)
      this->reportViolation("key " + Key + ": two targets at the same time");
  }

  void reportViolation(const std::string &Description) {
    if (this->Violations++ < ViolationsShown)
      std::cout << "violation: " << Description << '\n';
  }

  std::size_t Targets = 0;
  std::map<std::string, unsigned> ExecutionCounts;
  std::map<std::string, std::vector<Execution>> ExecutionsByKey;
  AnswerCounts Answers;
  std::uint64_t Violations = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  std::vector<std::string> Logs;
  std::vector<std::string> Operations;
  po::options_description Options("operation_judge");
  Options.add_options()("help", "shows the options")(
      "log", po::value(&Logs)->required(), "log of a target; repeated")(
      "operations", po::value(&Operations)->required(),
      "file written by load_tool; may be repeated");
  if (auto Status = orioledoor::standins::parseCommandLine("operation_judge",
                                                           Options, Argc, Argv))
    return *Status;
  try {
    OperationChecker Checker;
    std::ranges::for_each(
        Logs, [&](const std::string &File) { Checker.readLog(File); });
    std::ranges::for_each(Operations, [&](const std::string &File) {
      Checker.readOperations(File);
    });
    Checker.checkDuplicates();
    Checker.checkKeyOrder();
    return Checker.report();
  } catch (const std::exception &Error) {
    std::cerr << "operation_judge: " << Error.what() << '\n';
    return 2;
  }
}
