// Reference model of the differential test: records the executions on targets
// and the answers to callers, and checks the rules that relate them.
#ifndef ORIOLEDOOR_REQUESTS_TESTING_OUTCOME_CHECKER_H
#define ORIOLEDOOR_REQUESTS_TESTING_OUTCOME_CHECKER_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "orioledoor/requests/http_types.h"

namespace orioledoor::requests::testing {

// Collects violations as text. Operations have unique names, and each send of
// an operation has a unique CallerId.
class OutcomeChecker {
public:
  struct Send {
    std::string Operation;
    bool Idempotent = false;
    std::uint32_t MaxTries = 1;
    bool Disconnected = false;
    std::uint32_t Runs = 0;
    std::vector<HttpAnswer> Answers;
  };

  void recordSend(std::uint64_t CallerId, Send Value) {
    this->Sends[CallerId] = std::move(Value);
  }
  void recordDisconnect(std::uint64_t CallerId) {
    this->Sends.at(CallerId).Disconnected = true;
  }

  // A target ran the operation of the send. Owned means that the target's node
  // owned the slice and held a permission at that time.
  void recordRun(std::uint64_t CallerId, bool Owned) {
    Send &Recorded = this->Sends.at(CallerId);
    ++Recorded.Runs;
    ++this->Runs[Recorded.Operation];
    if (!Owned)
      this->Violations.push_back("ran without a permission: " +
                                 Recorded.Operation);
  }

  void recordAnswer(std::uint64_t CallerId, const HttpAnswer &Value) {
    this->Sends.at(CallerId).Answers.push_back(Value);
  }

  bool isOpen(std::uint64_t CallerId) const {
    const Send &Value = this->Sends.at(CallerId);
    return Value.Answers.empty() && !Value.Disconnected;
  }

  bool reportedRan(std::uint64_t CallerId) const {
    return this->reported(CallerId, "ran");
  }
  bool reportedNotRun(std::uint64_t CallerId) const {
    return this->reported(CallerId, "not-run");
  }

  static std::string outcomeOf(const HttpAnswer &Value) {
    auto Found =
        std::ranges::find(Value.Headers, "Oriole-Outcome", &Header::Name);
    return Found == Value.Headers.end() ? "" : Found->Value;
  }

  void expect(bool Holds, std::string Rule) {
    if (!Holds)
      this->Violations.push_back(std::move(Rule));
  }

  // Checks the rules that apply to complete sends. Called after the last event.
  std::vector<std::string> takeViolations() {
    for (const auto &[CallerId, Value] : this->Sends) {
      std::uint32_t Total = this->Runs[Value.Operation];
      std::string Name = Value.Operation + " caller " +
                         std::to_string(CallerId) + " runs " +
                         std::to_string(Total);
      this->expect(Value.Idempotent || Total <= 1, "ran twice: " + Name);
      this->expect(Value.Runs <= Value.MaxTries, "too many tries: " + Name);
      this->expect(Value.Answers.size() == (Value.Disconnected ? 0 : 1),
                   std::to_string(Value.Answers.size()) + " answers: " + Name);
      for (const HttpAnswer &Received : Value.Answers) {
        std::string Reported = outcomeOf(Received);
        this->expect(Reported == "ran" || Reported == "not-run" ||
                         Reported == "unknown",
                     "no outcome: " + Name);
        // Each send of an idempotent request counts as a separate operation.
        this->expect(Reported != "not-run" ||
                         (Value.Idempotent ? Value.Runs : Total) == 0,
                     "told not-run but ran: " + Name);
        this->expect(
            Reported != "ran" ||
                (Total >= 1 && Received.Body == "echo" + Value.Operation),
            "answer of another request: " + Name);
      }
    }
    return std::move(this->Violations);
  }

  // Number of answers by outcome and status. Shows which outcomes the schedules
  // reach.
  std::map<std::string, int> outcomes() const {
    std::map<std::string, int> Counts;
    for (const auto &[CallerId, Value] : this->Sends)
      for (const HttpAnswer &Received : Value.Answers)
        ++Counts[outcomeOf(Received) + " " + std::to_string(Received.Status)];
    return Counts;
  }

private:
  bool reported(std::uint64_t CallerId, std::string_view Outcome) const {
    return std::ranges::any_of(
        this->Sends.at(CallerId).Answers,
        [Outcome](const HttpAnswer &A) { return outcomeOf(A) == Outcome; });
  }

  std::map<std::uint64_t, Send> Sends;
  std::map<std::string, std::uint32_t> Runs;
  std::vector<std::string> Violations;
};

} // namespace orioledoor::requests::testing

#endif // ORIOLEDOOR_REQUESTS_TESTING_OUTCOME_CHECKER_H
